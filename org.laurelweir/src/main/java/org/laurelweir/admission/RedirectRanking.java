package org.laurelweir.admission;

import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;

/** Chooses the backend servers to which a request may be redirected. */
final class RedirectRanking {
    /** How many candidates a decision log shows. */
    private static final int MAX_LOGGED_CANDIDATES = 3;

    private final String mSelf;
    private final Members mMembers;

    RedirectRanking(String self, Members members) {
        mSelf = self;
        mMembers = members;
    }

    /** Returns the backend server to try after this one, or an empty string if there is none. */
    String redirectTarget(AttemptRequest request, int maxRedirects) {
        int tried = request.redirects();
        if (tried >= maxRedirects) {
            return "";
        }
        List<Candidate> others = topOthers(request, tried + 1);
        return others.size() > tried ? others.get(tried).id() : "";
    }

    /** Returns the names of the first backend servers in rank, for decision logs. */
    List<String> topCandidates(AttemptRequest request) {
        return mMembers.view().ranking().top(rankingKey(request), MAX_LOGGED_CANDIDATES).stream()
                .map(Candidate::id)
                .toList();
    }

    private List<Candidate> topOthers(AttemptRequest request, int count) {
        return mMembers.view().ranking().topWithout(rankingKey(request), mSelf, count);
    }

    /**
     * Returns the key by which backend servers are ranked: the chat's key, or a key of its own for
     * a request without a chat.
     */
    private static ChatKey rankingKey(AttemptRequest request) {
        if (request.chat() != 0) {
            return new ChatKey(request.chat());
        }
        return ChatKey.of(request.account(), request.id().requestName());
    }
}

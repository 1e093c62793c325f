package org.laurelweir.admission;

import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;

/** Names the backend servers that a request may go to instead of this one. */
final class RedirectRanking {
    /** How many candidates a decision shows. */
    private static final int MAX_LOGGED_CANDIDATES = 3;

    private final String mSelf;
    private final Members mMembers;

    RedirectRanking(String self, Members members) {
        mSelf = self;
        mMembers = members;
    }

    /** Returns the backend server to try after this one, or an empty text. */
    String redirectTarget(AttemptRequest request, int maxRedirects) {
        int tried = request.redirects();
        if (tried >= maxRedirects) {
            return "";
        }
        List<Candidate> others = topOthers(request, tried + 1);
        return others.size() > tried ? others.get(tried).id() : "";
    }

    /** Returns the first in rank, as a decision shows them. */
    List<String> topCandidates(AttemptRequest request) {
        return mMembers.view().ranking().top(rankingKey(request), MAX_LOGGED_CANDIDATES).stream()
                .map(Candidate::id)
                .toList();
    }

    private List<Candidate> topOthers(AttemptRequest request, int count) {
        return mMembers.view().ranking().topWithout(rankingKey(request), mSelf, count);
    }

    /** Returns the chat's key; a request without a chat gets a rank of its own. */
    private static ChatKey rankingKey(AttemptRequest request) {
        if (request.chat() != 0) {
            return new ChatKey(request.chat());
        }
        return ChatKey.of(request.account(), request.id().requestName());
    }
}

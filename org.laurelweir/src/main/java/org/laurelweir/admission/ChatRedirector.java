package org.laurelweir.admission;

import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatLocation;

/**
 * Redirects an attempt to the backend server that has its chat's history cached. An attempt that
 * stays here goes on to admission.
 */
final class ChatRedirector {
    private final ChatLocations mChatLocations;
    private final PendingChatLookups mLookups;
    private final Members mMembers;
    private final Admission mAdmission;

    ChatRedirector(
            ChatLocations chatLocations,
            PendingChatLookups lookups,
            Members members,
            Admission admission) {
        mChatLocations = chatLocations;
        mLookups = lookups;
        mMembers = members;
        mAdmission = admission;
    }

    /**
     * Redirects a new attempt, holds it while other sidecars are asked, or passes it to admission.
     */
    void locateAndPlace(Step step, Attempt attempt) {
        if (attempt.request().chat() == 0) {
            placeHere(step, attempt);
            return;
        }
        ChatLocation location = mChatLocations.locate(step.now(), attempt.request());
        if (location instanceof ChatLocation.Remote e) {
            redirectOrPlaceHere(step, attempt, e.server());
            return;
        }
        if (location instanceof ChatLocation.AskPeers ask
                && mLookups.askPeers(step, attempt, ask.candidates())) {
            return;
        }
        placeHere(step, attempt);
    }

    /** Handles another sidecar's reply about chat locations. */
    void onChatsLocated(Step step, SidecarEvent.ChatsLocated event) {
        Attempt attempt = mLookups.onChatsLocated(event.requestId(), event.locations());
        event.locations().forEach(mChatLocations::setLocation);
        if (attempt == null) {
            return;
        }
        String server = event.locations().get(attempt.request().chat());
        if (server == null) {
            placeHere(step, attempt);
            return;
        }
        redirectOrPlaceHere(step, attempt, server);
    }

    /** Passes the attempts whose look-up has timed out to admission. */
    void expire(Step step) {
        for (Attempt a : mLookups.expire(step.now())) {
            placeHere(step, a);
        }
    }

    private void redirectOrPlaceHere(Step step, Attempt attempt, String server) {
        Candidate candidate = mMembers.view().candidate(server);
        boolean takesWork =
                candidate != null && !candidate.draining() && !mAdmission.isSelf(server);
        if (takesWork) {
            mAdmission.redirectToChat(step, attempt, server);
            return;
        }
        placeHere(step, attempt);
    }

    private void placeHere(Step step, Attempt attempt) {
        mAdmission.decide(step, attempt, mChatLocations.cachedTokens(attempt.request().chat()));
    }
}

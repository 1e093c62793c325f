package org.laurelweir.admission;

import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatLocation;

/** Brings an attempt to where its chat's history is before its load is weighed. */
final class ChatRedirector {
    private final ChatLocations mChatLocations;
    private final PendingChatLookups mLookups;
    private final Members mMembers;
    private final Admission mAdmission;

    ChatRedirector(
            ChatLocations homes,
            PendingChatLookups questions,
            Members members,
            Admission admission) {
        mChatLocations = homes;
        mLookups = questions;
        mMembers = members;
        mAdmission = admission;
    }

    /** Sends a new attempt on, has it wait for an answer, or has it placed here. */
    void redirectOrPlace(Step step, Attempt attempt) {
        if (attempt.request().chat() == 0) {
            placeHere(step, attempt);
            return;
        }
        ChatLocation seat = mChatLocations.locate(step.now(), attempt.request());
        if (seat instanceof ChatLocation.Remote e) {
            redirectOrPlaceHere(step, attempt, e.server());
            return;
        }
        if (seat instanceof ChatLocation.AskPeers ask
                && mLookups.askPeers(step, attempt, ask.candidates())) {
            return;
        }
        placeHere(step, attempt);
    }

    /** Goes on with an attempt whose chat another sidecar was asked about. */
    void onChatsLocated(Step step, SidecarEvent.ChatsLocated event) {
        Attempt attempt = mLookups.onChatsLocated(event.question(), event.locations());
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

    /** Goes on with attempts whose question got no answer in time. */
    void expire(Step step) {
        for (Attempt a : mLookups.expire(step.now())) {
            placeHere(step, a);
        }
    }

    private void redirectOrPlaceHere(Step step, Attempt attempt, String server) {
        Candidate there = mMembers.view().candidate(server);
        boolean takesWork = there != null && !there.draining() && !mAdmission.isSelf(server);
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

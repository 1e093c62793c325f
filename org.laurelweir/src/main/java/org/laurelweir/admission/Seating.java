package org.laurelweir.admission;

import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatLocation;

/** Brings an attempt to where its chat's history is before its load is weighed. */
final class Seating {
    private final ChatHomes mHomes;
    private final ChatQuestions mQuestions;
    private final Members mMembers;
    private final Admission mAdmission;

    Seating(ChatHomes homes, ChatQuestions questions, Members members, Admission admission) {
        mHomes = homes;
        mQuestions = questions;
        mMembers = members;
        mAdmission = admission;
    }

    /** Sends a new attempt on, has it wait for an answer, or has it placed here. */
    void seat(Step step, Attempt attempt) {
        if (attempt.request().chat() == 0) {
            place(step, attempt);
            return;
        }
        ChatLocation seat = mHomes.find(step.now(), attempt.request());
        if (seat instanceof ChatLocation.Remote e) {
            sendOrPlace(step, attempt, e.server());
            return;
        }
        if (seat instanceof ChatLocation.AskPeers ask
                && mQuestions.ask(step, attempt, ask.candidates())) {
            return;
        }
        place(step, attempt);
    }

    /** Goes on with an attempt whose chat another sidecar was asked about. */
    void answered(Step step, SidecarEvent.ChatsLocated event) {
        Attempt attempt = mQuestions.answered(event.question(), event.locations());
        event.locations().forEach(mHomes::located);
        if (attempt == null) {
            return;
        }
        String server = event.locations().get(attempt.request().chat());
        if (server == null) {
            place(step, attempt);
            return;
        }
        sendOrPlace(step, attempt, server);
    }

    /** Goes on with attempts whose question got no answer in time. */
    void expire(Step step) {
        for (Attempt a : mQuestions.expire(step.now())) {
            place(step, a);
        }
    }

    private void sendOrPlace(Step step, Attempt attempt, String server) {
        Candidate there = mMembers.view().candidate(server);
        boolean takesWork = there != null && !there.draining() && !mAdmission.isSelf(server);
        if (takesWork) {
            mAdmission.sendElsewhere(step, attempt, server);
            return;
        }
        place(step, attempt);
    }

    private void place(Step step, Attempt attempt) {
        mAdmission.place(step, attempt, mHomes.cachedTokens(attempt.request().chat()));
    }
}

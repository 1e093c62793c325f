package org.laurelweir.pgm.command;

import java.util.List;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.pgm.fleet.Replicas;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeMembersRequest;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;
import org.laurelweir.wire.v1.ReplicaId;

/** Changes the log's membership. Every step is idempotent. */
final class MembershipChanger {
    /**
     * Leaves a replica enough time to copy a long log; the pause between attempts is below a
     * second.
     */
    private static final int MAX_ATTEMPTS = 400;

    private MembershipChanger() {}

    /** The membership after a change, printed as JSON. */
    record Members(List<String> voters, List<String> learners) {
        static Members of(ChangeMembersReply reply) {
            return new Members(
                    reply.getVotersList().stream().map(Replicas::text).toList(),
                    reply.getLearnersList().stream().map(Replicas::text).toList());
        }
    }

    /** Requests one step, without a retry. */
    static ChangeMembersReply change(FleetConnection fleet, Step step, ReplicaId replica) {
        return change(fleet, request(step, replica).build());
    }

    private static ChangeMembersReply change(FleetConnection fleet, ChangeMembersRequest request) {
        ChangeMembersReply reply = fleet.control().changeMembers(request);
        Replies.requireOk(reply.getCode(), reply.getMessage());
        return reply;
    }

    /**
     * Requests one step, and retries while an earlier step or the copying of the log is pending.
     */
    static ChangeMembersReply changeWithRetries(
            FleetConnection fleet, Step step, ReplicaId replica) {
        return changeWithRetries(fleet, request(step, replica).build());
    }

    /** Puts a replica in the place of a voter, and retries while it copies the log. */
    static ChangeMembersReply replaceWithRetries(
            FleetConnection fleet, ReplicaId replaced, ReplicaId replica) {
        return changeWithRetries(
                fleet, request(Step.REPLACE, replica).setReplaced(replaced).build());
    }

    private static ChangeMembersReply changeWithRetries(
            FleetConnection fleet, ChangeMembersRequest request) {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            ChangeMembersReply reply = fleet.control().changeMembers(request);
            if (ResultCode.of(reply.getCode()) != ResultCode.MEMBERSHIP_CHANGE_PENDING) {
                Replies.requireOk(reply.getCode(), reply.getMessage());
                return reply;
            }
            fleet.pauseBeforeRetry();
        }
        return change(fleet, request);
    }

    static int show(ChangeMembersReply reply, Console console, boolean json) {
        if (json) {
            console.printJson(Members.of(reply));
        } else {
            String voters = Replicas.text(reply.getVotersList());
            String learners = Replicas.text(reply.getLearnersList());
            console.print(String.format(Texts.MEMBERS, voters, learners));
        }
        return PgmCommand.SUCCESS;
    }

    private static ChangeMembersRequest.Builder request(Step step, ReplicaId replica) {
        return ChangeMembersRequest.newBuilder().setStep(step).setReplica(replica);
    }
}

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

/** Makes changes of the log's membership; one that was made already is made again without harm. */
final class MemberChanger {
    /** A replica with a long log to copy takes its time; each try waits a fraction of a second. */
    private static final int TRIES = 400;

    private MemberChanger() {}

    /** The membership after a change, for scripts. */
    record Members(List<String> voters, List<String> learners) {
        static Members of(ChangeMembersReply reply) {
            return new Members(
                    reply.getVotersList().stream().map(Replicas::text).toList(),
                    reply.getLearnersList().stream().map(Replicas::text).toList());
        }
    }

    /** Makes one step, once. */
    static ChangeMembersReply change(FleetConnection fleet, Step step, ReplicaId replica) {
        ChangeMembersReply reply = fleet.control().changeMembers(request(step, replica));
        Replies.check(reply.getCode(), reply.getMessage());
        return reply;
    }

    /** Makes one step, again and again while an earlier one or the copying is not finished. */
    static ChangeMembersReply await(FleetConnection fleet, Step step, ReplicaId replica) {
        for (int i = 0; i < TRIES; i++) {
            ChangeMembersReply reply = fleet.control().changeMembers(request(step, replica));
            if (ResultCode.of(reply.getCode()) != ResultCode.MEMBERSHIP_CHANGE_PENDING) {
                Replies.check(reply.getCode(), reply.getMessage());
                return reply;
            }
            fleet.pause();
        }
        return change(fleet, step, replica);
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

    private static ChangeMembersRequest request(Step step, ReplicaId replica) {
        return ChangeMembersRequest.newBuilder().setStep(step).setReplica(replica).build();
    }
}

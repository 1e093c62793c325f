package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;
import org.laurelweir.wire.v1.ControlStatus;
import org.laurelweir.wire.v1.ReplicaId;
import org.laurelweir.wire.v1.StatusReply;

/**
 * Replaces the replica on a control instance's lost disk by the one on its new disk. The new
 * replica becomes a voter in the step in which the old one ceases to be one, and only after it has
 * copied the log, so that at no moment fewer losses are survived than before. After a failure, a
 * second run continues where the first one stopped.
 */
@Command(name = "replace", description = Texts.REPLICA_REPLACE)
public final class ReplicaReplace implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Required
    @Arguments(title = "CONTROL", description = Texts.ARGUMENT_CONTROL)
    private String mName = "";

    @Override
    public int run(Console console) {
        return mFleet.withFleet(console, f -> replace(f, console));
    }

    private int replace(FleetConnection fleet, Console console) {
        StatusReply status = fleet.control().status();
        ReplicaId fresh = presentReplica(status);
        List<ReplicaId> lost =
                leader(status).getVotersList().stream()
                        .filter(v -> v.getName().equals(mName) && !v.equals(fresh))
                        .toList();
        MembershipChanger.changeWithRetries(fleet, Step.ADD_LEARNER, fresh);
        ChangeMembersReply reply =
                lost.isEmpty()
                        ? MembershipChanger.changeWithRetries(fleet, Step.PROMOTE, fresh)
                        : MembershipChanger.replaceWithRetries(fleet, lost.get(0), fresh);
        for (ReplicaId old : lost.stream().skip(1).toList()) {
            reply = MembershipChanger.changeWithRetries(fleet, Step.REMOVE, old);
        }
        return MembershipChanger.show(reply, console, mFleet.isJson());
    }

    private ReplicaId presentReplica(StatusReply status) {
        return status.getControlsList().stream()
                .filter(c -> c.getName().equals(mName) && c.hasReplica())
                .map(ControlStatus::getReplica)
                .findFirst()
                .orElseThrow(
                        () ->
                                new LaurelweirException(
                                        ResultCode.UNREACHABLE,
                                        String.format(Texts.NO_SUCH_CONTROL, mName)));
    }

    private static ControlStatus leader(StatusReply status) {
        return status.getControlsList().stream()
                .filter(ControlStatus::getLeader)
                .findFirst()
                .orElseThrow(() -> new LaurelweirException(ResultCode.NOT_LEADER, Texts.NO_LEADER));
    }
}

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
 * Puts a control instance's new disk in place of its lost one. The new replica gets its vote before
 * the old one goes, and only once it has the log, so that no quorum counts on a replica that knows
 * nothing. Started again after a failure, it goes on where it stopped.
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
        MemberChanger.await(fleet, Step.ADD_LEARNER, fresh);
        ChangeMembersReply reply = MemberChanger.await(fleet, Step.PROMOTE, fresh);
        for (ReplicaId old : lost) {
            reply = MemberChanger.await(fleet, Step.REMOVE, old);
        }
        return MemberChanger.show(reply, console, mFleet.isJson());
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

package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.Replicas;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;
import org.laurelweir.wire.v1.ReplicaId;

/** The options and arguments of commands that change the log's membership by one replica. */
public final class ReplicaOptions {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Required
    @Arguments(title = "REPLICA", description = Texts.ARGUMENT_REPLICA)
    private String mReplica = "";

    int run(Console console, Step step) {
        ReplicaId replica = Replicas.parse(mReplica);
        return mFleet.withFleet(
                console,
                f ->
                        MembershipChanger.show(
                                MembershipChanger.change(f, step, replica),
                                console,
                                mFleet.isJson()));
    }
}

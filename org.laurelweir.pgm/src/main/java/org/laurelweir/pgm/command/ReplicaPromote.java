package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;

/** Promotes a learner, which must have caught up with the log, to a voter. */
@Command(name = "promote", description = Texts.REPLICA_PROMOTE)
public final class ReplicaPromote implements PgmCommand {
    @AirlineModule private ReplicaOptions mOptions = new ReplicaOptions();

    @Override
    public int run(Console console) {
        return mOptions.run(console, Step.PROMOTE);
    }
}

package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;

/** Adds a replica as a learner, which copies the log and has no vote. */
@Command(name = "add", description = Texts.REPLICA_ADD)
public final class ReplicaAdd implements PgmCommand {
    @AirlineModule private ReplicaOptions mOptions = new ReplicaOptions();

    @Override
    public int run(Console console) {
        return mOptions.run(console, Step.ADD_LEARNER);
    }
}

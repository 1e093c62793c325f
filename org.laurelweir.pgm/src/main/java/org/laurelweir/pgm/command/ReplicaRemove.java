package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;

/** Removes a replica from the log's membership. */
@Command(name = "remove", description = Texts.REPLICA_REMOVE)
public final class ReplicaRemove implements PgmCommand {
    @AirlineModule private ReplicaOptions mOptions = new ReplicaOptions();

    @Override
    public int run(Console console) {
        return mOptions.run(console, Step.REMOVE);
    }
}

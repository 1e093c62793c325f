package org.laurelweir.wire;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.coordination.Command;
import org.laurelweir.membership.Departure;
import org.laurelweir.wire.v1.DepartureRecord;
import org.laurelweir.wire.v1.RecordDeparture;

/** Converts the departures of backend servers, in the log and in snapshots. */
final class DepartureCodec {
    private DepartureCodec() {}

    static RecordDeparture toWire(Command.RecordDeparture c) {
        return RecordDeparture.newBuilder()
                .setServer(IdCodec.toWire(c.server()))
                .setState(MembershipCodec.toWire(c.state()))
                .setSession(c.session())
                .setRetentionMillis(c.retention().toMillis())
                .build();
    }

    static Command.RecordDeparture toCore(RecordDeparture m, Instant timestamp) {
        return new Command.RecordDeparture(
                timestamp,
                IdCodec.toCore(m.getServer()),
                MembershipCodec.toCore(m.getState()),
                m.getSession(),
                Duration.ofMillis(m.getRetentionMillis()));
    }

    static DepartureRecord toWire(Departure d) {
        return DepartureRecord.newBuilder()
                .setServer(IdCodec.toWire(d.server()))
                .setState(MembershipCodec.toWire(d.state()))
                .setSession(d.session())
                .setExpiresMillis(d.expiry().toEpochMilli())
                .build();
    }

    static Departure toCore(DepartureRecord m) {
        return new Departure(
                IdCodec.toCore(m.getServer()),
                MembershipCodec.toCore(m.getState()),
                m.getSession(),
                Instant.ofEpochMilli(m.getExpiresMillis()));
    }
}

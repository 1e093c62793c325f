package org.laurelweir.wire;

import java.time.Instant;
import org.laurelweir.coordination.DataCentreDrain;

/** Converts the drain orders of data centres, in snapshots and in the status of the fleet. */
public final class DrainCodec {
    private DrainCodec() {}

    /** Returns the message of an order. */
    public static org.laurelweir.wire.v1.DataCentreDrain toWire(DataCentreDrain d) {
        return org.laurelweir.wire.v1.DataCentreDrain.newBuilder()
                .setDataCentre(d.dataCentre())
                .setAuthor(d.author())
                .setAtMillis(d.orderedAt().toEpochMilli())
                .build();
    }

    /** Returns the order that a message holds. */
    public static DataCentreDrain toCore(org.laurelweir.wire.v1.DataCentreDrain m) {
        Instant at = Instant.ofEpochMilli(m.getAtMillis());
        return new DataCentreDrain(m.getDataCentre(), m.getAuthor(), at);
    }
}

package org.laurelweir.wire;

import java.util.List;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.membership.SlowStartPermit;
import org.laurelweir.wire.v1.ExchangeReply;

/** Converts the rules for where a router sends requests. */
public final class PlacementRulesCodec {
    private PlacementRulesCodec() {}

    /** Adds the rules to the reply to a router's exchange. */
    public static void addTo(ExchangeReply.Builder reply, PlacementRules rules) {
        reply.setDrainedDataCentres(
                org.laurelweir.wire.v1.DrainedDataCentres.newBuilder()
                        .setPosition(rules.drained().position())
                        .addAllNames(rules.drained().names()));
        reply.addAllSlowStartServices(rules.slowStartServices());
        rules.slowStartPermits().forEach(p -> reply.addSlowStartPermits(toWire(p)));
    }

    /** Returns the rules that a reply contains. */
    public static PlacementRules toCore(ExchangeReply reply) {
        var drained = reply.getDrainedDataCentres();
        List<SlowStartPermit> permits =
                reply.getSlowStartPermitsList().stream().map(PlacementRulesCodec::toCore).toList();
        return new PlacementRules(
                new DrainedDataCentres(drained.getPosition(), drained.getNamesList()),
                reply.getSlowStartServicesList(),
                permits);
    }

    private static org.laurelweir.wire.v1.SlowStartPermit toWire(SlowStartPermit p) {
        return org.laurelweir.wire.v1.SlowStartPermit.newBuilder()
                .setServer(IdCodec.toWire(p.server()))
                .setRequestsPerSecond(p.requestsPerSecond())
                .build();
    }

    private static SlowStartPermit toCore(org.laurelweir.wire.v1.SlowStartPermit m) {
        return new SlowStartPermit(IdCodec.toCore(m.getServer()), m.getRequestsPerSecond());
    }
}

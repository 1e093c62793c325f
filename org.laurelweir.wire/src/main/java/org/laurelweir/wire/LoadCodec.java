package org.laurelweir.wire;

import java.util.List;
import org.laurelweir.load.BackendLoad;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.MeanLoad;
import org.laurelweir.load.PartLoad;
import org.laurelweir.load.PeerLoads;

/** Converts the reports and digests of the requests that routers have in flight. */
public final class LoadCodec {
    private LoadCodec() {}

    /** Returns the message of a load report. */
    public static org.laurelweir.wire.v1.LoadReport toWire(LoadReport r) {
        return org.laurelweir.wire.v1.LoadReport.newBuilder()
                .setWhole(r.full())
                .addAllServers(r.servers().stream().map(LoadCodec::toWire).toList())
                .addAllParts(r.parts().stream().map(LoadCodec::toWire).toList())
                .build();
    }

    /** Returns the load report that a message holds. */
    public static LoadReport toCore(org.laurelweir.wire.v1.LoadReport r) {
        return new LoadReport(
                r.getWhole(), serversToCore(r.getServersList()), partsToCore(r.getPartsList()));
    }

    /** Returns the message of a load digest. */
    public static org.laurelweir.wire.v1.LoadDigest toWire(LoadDigest d) {
        return org.laurelweir.wire.v1.LoadDigest.newBuilder()
                .setRouters(d.routers())
                .addAllMeans(d.means().stream().map(LoadCodec::toWire).toList())
                .addAllBusy(d.busy().stream().map(LoadCodec::toWire).toList())
                .addAllHot(d.hot().stream().map(LoadCodec::toWire).toList())
                .build();
    }

    /** Returns the load digest that a message holds. */
    public static LoadDigest toCore(org.laurelweir.wire.v1.LoadDigest d) {
        return new LoadDigest(
                d.getRouters(),
                d.getMeansList().stream().map(LoadCodec::toCore).toList(),
                serversToCore(d.getBusyList()),
                partsToCore(d.getHotList()));
    }

    /** Returns the message of the loads that a control instance shares with its peers. */
    public static org.laurelweir.wire.v1.PeerLoads toWire(PeerLoads l) {
        org.laurelweir.wire.v1.PeerLoads.Builder loads =
                org.laurelweir.wire.v1.PeerLoads.newBuilder()
                        .setControl(l.control())
                        .setRouters(l.routers())
                        .setSums(toWire(l.sums()));
        return ContentionCodec.addTo(loads, l.contention()).build();
    }

    /** Returns the loads of a peer that a message holds. */
    public static PeerLoads toCore(org.laurelweir.wire.v1.PeerLoads l) {
        return new PeerLoads(
                l.getControl(),
                l.getRouters(),
                toCore(l.getSums()),
                ContentionCodec.toCore(l.getContention()));
    }

    private static org.laurelweir.wire.v1.BackendLoad toWire(BackendLoad l) {
        return org.laurelweir.wire.v1.BackendLoad.newBuilder()
                .setServer(IdCodec.toWire(l.server()))
                .setRequests(l.requests())
                .build();
    }

    private static List<BackendLoad> serversToCore(List<org.laurelweir.wire.v1.BackendLoad> loads) {
        return loads.stream()
                .map(l -> new BackendLoad(IdCodec.toCore(l.getServer()), l.getRequests()))
                .toList();
    }

    private static org.laurelweir.wire.v1.PartLoad toWire(PartLoad l) {
        return org.laurelweir.wire.v1.PartLoad.newBuilder()
                .setPart(l.part())
                .setRequests(l.requests())
                .build();
    }

    private static List<PartLoad> partsToCore(List<org.laurelweir.wire.v1.PartLoad> loads) {
        return loads.stream().map(l -> new PartLoad(l.getPart(), l.getRequests())).toList();
    }

    private static org.laurelweir.wire.v1.MeanLoad toWire(MeanLoad m) {
        return org.laurelweir.wire.v1.MeanLoad.newBuilder()
                .setService(m.service())
                .setRequests(m.requests())
                .build();
    }

    private static MeanLoad toCore(org.laurelweir.wire.v1.MeanLoad m) {
        return new MeanLoad(m.getService(), m.getRequests());
    }
}

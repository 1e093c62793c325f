package org.laurelweir.benchmarks.steps;

import com.google.protobuf.MessageLite;
import java.util.List;
import java.util.stream.IntStream;
import org.laurelweir.membership.Backend;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/** Reports the encoded sizes of exchanges with control. */
final class ExchangeSizes {
    private static final int[] BACKENDS = {100, 1_000, 4_000};
    private static final int[] ACCOUNTS = {1_000, 5_000, 19_000};

    /** A version or position as long as those of a deployment that has run for some time. */
    private static final long VERSION = 100_000;

    private ExchangeSizes() {}

    static void report(Report out) {
        Backend backend = SampleData.backend(1234, SampleData.service(3), 1);
        out.size(
                "sidecar's exchange: request",
                size(
                        request()
                                .setSidecar(
                                        MembershipCodec.toWire(
                                                SampleData.sidecarReport(backend)))));
        out.size(
                "router's exchange: request",
                size(request().setRouter(MembershipCodec.toWire(SampleData.routerReport(17)))));
        int idle = size(reply(1));
        out.size("sidecar's exchange: answer without news", idle);
        out.size("router's exchange: answer without news", size(reply(SampleData.SERVICES)));
        out.size("more for one backend server", size(replyWithBackends(List.of(backend))) - idle);
        SettingsNode node = SampleData.accountNode(1234, VERSION);
        out.size("more for one settings node", size(replyWithSettings(List.of(node))) - idle);
        for (int n : BACKENDS) {
            out.size(
                    "answer with " + n + " backend servers",
                    size(replyWithBackends(SampleData.backends(n))));
        }
        for (int n : ACCOUNTS) {
            out.size(
                    "answer with " + n + " client accounts",
                    size(replyWithSettings(SampleData.accountNodes(n))));
        }
    }

    private static ExchangeRequest.Builder request() {
        return ExchangeRequest.newBuilder()
                .setMembership(
                        MembershipCodec.toWire(
                                SampleData.delta(VERSION, false, List.of()).cursor()))
                .setSettingsPosition(VERSION);
    }

    private static ExchangeReply.Builder reply(int services) {
        ExchangeReply.Builder reply = ExchangeReply.newBuilder();
        SampleData.loads().subList(0, services).stream()
                .map(MembershipCodec::toWire)
                .forEach(reply::addLoads);
        IntStream.range(0, ControlDriver.INSTANCES)
                .forEach(i -> reply.addControls("10.3.0." + i + ":7000"));
        return reply.setNextExchangeMillis(1_000)
                .setMembership(MembershipCodec.toWire(SampleData.delta(VERSION, false, List.of())))
                .setSettings(SettingsCodec.toWire(new SettingsDelta(VERSION, false, List.of())));
    }

    private static ExchangeReply.Builder replyWithBackends(List<Backend> backends) {
        return reply(1).setMembership(
                        MembershipCodec.toWire(SampleData.delta(VERSION, true, backends)));
    }

    private static ExchangeReply.Builder replyWithSettings(List<SettingsNode> nodes) {
        return reply(1).setSettings(SettingsCodec.toWire(new SettingsDelta(VERSION, true, nodes)));
    }

    private static int size(MessageLite.Builder message) {
        return message.build().getSerializedSize();
    }
}

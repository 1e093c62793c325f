package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.Begin;

/** Tests that attempts, frames and states are decoded as they were encoded. */
class AttemptCodecTest {
    @Property(seed = "4101")
    void requestRoundTrips(@ForAll("requests") AttemptRequest request)
            throws InvalidProtocolBufferException {
        byte[] sent = AttemptCodec.toWire(request).toByteArray();
        AttemptRequest read = AttemptCodec.toCore(Begin.parseFrom(sent));
        assertThat(read).usingRecursiveComparison().isEqualTo(request);
    }

    @Property(seed = "4102")
    void frameRoundTrips(@ForAll("frames") AttemptFrame frame)
            throws InvalidProtocolBufferException {
        byte[] sent = AttemptCodec.toWire(frame).toByteArray();
        AttemptFrame read =
                AttemptCodec.toCore(org.laurelweir.wire.v1.AttemptFrame.parseFrom(sent));
        assertThat(read).usingRecursiveComparison().isEqualTo(frame);
    }

    @Property(seed = "4103")
    void stateRoundTrips(@ForAll AttemptState state) {
        assertThat(AttemptCodec.toCore(AttemptCodec.toWire(state))).isEqualTo(state);
    }

    // After NEVER_STARTED, a router may send the request to another backend server. A newer sidecar
    // may answer with a state that this version does not know, an older one with none. Neither may
    // be decoded as NEVER_STARTED.
    @Test
    void unknownStateDecodesAsOtherIncarnation() {
        assertThat(AttemptCodec.toCore(org.laurelweir.wire.v1.AttemptState.UNRECOGNIZED))
                .isEqualTo(AttemptState.OTHER_INCARNATION);
        assertThat(
                        AttemptCodec.toCore(
                                org.laurelweir.wire.v1.AttemptState.ATTEMPT_STATE_UNSPECIFIED))
                .isEqualTo(AttemptState.OTHER_INCARNATION);
    }

    @Test
    void messageWithoutFrameIsRejected() {
        org.laurelweir.wire.v1.AttemptFrame empty =
                org.laurelweir.wire.v1.AttemptFrame.getDefaultInstance();
        assertThatThrownBy(() -> AttemptCodec.toCore(empty))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Provide
    Arbitrary<AttemptRequest> requests() {
        return Combinators.combine(ids(), refs(), calls(), texts(), millis(), counts(), flags())
                .as(AttemptCodecTest::request);
    }

    private static AttemptRequest request(
            AttemptId id,
            BackendRef target,
            AttemptRequest.Call call,
            String text,
            Duration time,
            int number,
            boolean flag) {
        return AttemptRequest.builder(id, target)
                .account(text + "-account", number / 8.0)
                .service(text + "-service")
                .chat(id.routerIncarnation(), flag)
                .call(call)
                .idempotent(!flag)
                .idempotencyKey(text)
                .timeLeft(time)
                .priority(-number)
                .cost(new AttemptRequest.Cost(number, number / 2))
                .redirects(number % 3)
                .outputKeepTime(time.plusMillis(7))
                .build();
    }

    @Provide
    Arbitrary<AttemptFrame> frames() {
        Arbitrary<LoadHint> loads =
                Combinators.combine(Arbitraries.doubles(), Arbitraries.doubles(), flags())
                        .as(LoadHint::new);
        return Combinators.combine(ids(), loads, frameKinds()).as(AttemptFrame::new);
    }

    private static Arbitrary<Frame> frameKinds() {
        Arbitrary<ResultCode> codes = Arbitraries.of(ResultCode.class);
        Arbitrary<Frame.Usage> usages =
                Combinators.combine(counts(), counts(), counts()).as(Frame.Usage::new);
        return Arbitraries.oneOf(
                counts().map(Frame.Accepted::new),
                Combinators.combine(counts(), headers()).as(Frame.Head::new),
                Combinators.combine(offsets(), bytes()).as(Frame.Data::new),
                offsets().map(Frame.Progress::new),
                Combinators.combine(offsets(), usages).as(Frame.End::new),
                Combinators.combine(codes, texts(), texts(), millis()).as(Frame.Refused::new),
                Combinators.combine(codes, texts()).as(Frame.Failed::new));
    }

    private static Arbitrary<AttemptId> ids() {
        return Combinators.combine(texts(), Arbitraries.longs(), offsets(), counts())
                .as(AttemptId::new);
    }

    private static Arbitrary<BackendRef> refs() {
        return Combinators.combine(texts(), Arbitraries.longs()).as(BackendRef::new);
    }

    private static Arbitrary<AttemptRequest.Call> calls() {
        return Combinators.combine(texts(), texts(), headers(), bytes(), flags())
                .as(AttemptRequest.Call::new);
    }

    private static Arbitrary<List<Header>> headers() {
        return Combinators.combine(texts(), texts()).as(Header::new).list().ofMaxSize(4);
    }

    private static Arbitrary<byte[]> bytes() {
        return Arbitraries.bytes().array(byte[].class).ofMaxSize(64);
    }

    private static Arbitrary<String> texts() {
        return Arbitraries.strings().alpha().numeric().ofMaxLength(12);
    }

    private static Arbitrary<Boolean> flags() {
        return Arbitraries.of(true, false);
    }

    private static Arbitrary<Integer> counts() {
        return Arbitraries.integers().between(0, 1 << 30);
    }

    private static Arbitrary<Long> offsets() {
        return Arbitraries.longs().between(0, Long.MAX_VALUE);
    }

    private static Arbitrary<Duration> millis() {
        return Arbitraries.longs().between(0, 1L << 40).map(Duration::ofMillis);
    }
}

package org.laurelweir.wire;

import com.google.protobuf.UnsafeByteOperations;
import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Header;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.wire.v1.Begin;

/**
 * Converts between attempts' core records and their messages. Durations are sent in milliseconds,
 * rounded down. Byte arrays are shared with the messages, not copied: neither side may modify an
 * array that it has passed on.
 */
public final class AttemptCodec {
    private AttemptCodec() {}

    /** Returns the message that starts an attempt. */
    public static Begin toWire(AttemptRequest r) {
        return Begin.newBuilder()
                .setAttempt(IdCodec.toWire(r.id()))
                .setTarget(IdCodec.toWire(r.target()))
                .setAccount(r.account())
                .setService(r.service())
                .setChat(r.chat())
                .setReturning(r.returning())
                .setMethod(r.call().method())
                .setPath(r.call().path())
                .addAllHeaders(toWire(r.call().headers()))
                .setBody(UnsafeByteOperations.unsafeWrap(r.call().body()))
                .setStreamed(r.call().streamed())
                .setIdempotent(r.idempotent())
                .setIdempotencyKey(r.idempotencyKey())
                .setDeadlineMillis(r.timeLeft().toMillis())
                .setPriority(r.priority())
                .setPromptTokens(r.cost().promptTokens())
                .setOutputTokens(r.cost().outputTokens())
                .setRedirects(r.redirects())
                .setAccountWeight(r.accountWeight())
                .setKeepOutputMillis(r.outputKeepTime().toMillis())
                .build();
    }

    /** Returns the request of a message that starts an attempt. */
    public static AttemptRequest toCore(Begin b) {
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        b.getMethod(),
                        b.getPath(),
                        toCore(b.getHeadersList()),
                        b.getBody().toByteArray(),
                        b.getStreamed());
        return AttemptRequest.builder(IdCodec.toCore(b.getAttempt()), IdCodec.toCore(b.getTarget()))
                .account(b.getAccount(), b.getAccountWeight())
                .service(b.getService())
                .chat(b.getChat(), b.getReturning())
                .call(call)
                .idempotent(b.getIdempotent())
                .idempotencyKey(b.getIdempotencyKey())
                .timeLeft(Duration.ofMillis(b.getDeadlineMillis()))
                .priority(b.getPriority())
                .cost(new AttemptRequest.Cost(b.getPromptTokens(), b.getOutputTokens()))
                .redirects(b.getRedirects())
                .outputKeepTime(Duration.ofMillis(b.getKeepOutputMillis()))
                .build();
    }

    /** Returns the message of a frame. */
    public static org.laurelweir.wire.v1.AttemptFrame toWire(
            org.laurelweir.attempt.AttemptFrame frame) {
        org.laurelweir.wire.v1.AttemptFrame.Builder message =
                org.laurelweir.wire.v1.AttemptFrame.newBuilder()
                        .setAttempt(IdCodec.toWire(frame.attempt()))
                        .setLoad(toWire(frame.load()));
        FrameCodec.setFrame(frame.frame(), message);
        return message.build();
    }

    /**
     * Returns the frame that a message holds.
     *
     * @throws IllegalArgumentException if the message holds no frame, or one that this version does
     *     not know
     */
    public static org.laurelweir.attempt.AttemptFrame toCore(
            org.laurelweir.wire.v1.AttemptFrame message) {
        return new org.laurelweir.attempt.AttemptFrame(
                IdCodec.toCore(message.getAttempt()),
                toCore(message.getLoad()),
                FrameCodec.frameToCore(message));
    }

    /** Returns the message of an attempt's state. */
    public static org.laurelweir.wire.v1.AttemptState toWire(AttemptState state) {
        return switch (state) {
            case NEVER_STARTED -> org.laurelweir.wire.v1.AttemptState.NEVER_STARTED;
            case RUNNING -> org.laurelweir.wire.v1.AttemptState.RUNNING;
            case FINISHED -> org.laurelweir.wire.v1.AttemptState.FINISHED;
            case OTHER_INCARNATION -> org.laurelweir.wire.v1.AttemptState.OTHER_INCARNATION;
        };
    }

    /**
     * Returns the attempt's state that a message holds. A state that this version does not know
     * becomes OTHER_INCARNATION, which makes no statement about the attempt's outcome.
     */
    public static AttemptState toCore(org.laurelweir.wire.v1.AttemptState state) {
        return switch (state) {
            case NEVER_STARTED -> AttemptState.NEVER_STARTED;
            case RUNNING -> AttemptState.RUNNING;
            case FINISHED -> AttemptState.FINISHED;
            default -> AttemptState.OTHER_INCARNATION;
        };
    }

    static List<org.laurelweir.wire.v1.Header> toWire(List<Header> headers) {
        return headers.stream().map(AttemptCodec::toWire).toList();
    }

    static List<Header> toCore(List<org.laurelweir.wire.v1.Header> headers) {
        return headers.stream().map(h -> new Header(h.getName(), h.getValue())).toList();
    }

    private static org.laurelweir.wire.v1.Header toWire(Header header) {
        return org.laurelweir.wire.v1.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build();
    }

    private static org.laurelweir.wire.v1.LoadHint toWire(LoadHint load) {
        return org.laurelweir.wire.v1.LoadHint.newBuilder()
                .setRunningWork(load.runningWork())
                .setMeanWork(load.meanWork())
                .setDraining(load.draining())
                .build();
    }

    private static LoadHint toCore(org.laurelweir.wire.v1.LoadHint load) {
        return new LoadHint(load.getRunningWork(), load.getMeanWork(), load.getDraining());
    }
}

package org.laurelweir.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A fake network. A seed determines when each message arrives, and which messages are lost,
 * duplicated or overtaken while faults are enabled. Without faults every message arrives once and
 * in order.
 */
final class FakeNetwork {
    private final Random mRandom;
    private final List<Message> mInFlight = new ArrayList<>();
    private double mFaultRate;

    FakeNetwork(Random random) {
        mRandom = random;
    }

    private record Message(Object channel, boolean unreliable, Runnable arrival) {}

    void setFaultRate(double rate) {
        mFaultRate = rate;
    }

    boolean drawsFault() {
        return mRandom.nextDouble() < mFaultRate;
    }

    /**
     * Sends over a channel that keeps the order of its messages and loses none of them on its own.
     */
    void send(Object channel, Runnable arrival) {
        mInFlight.add(new Message(channel, false, arrival));
    }

    /** Sends a message that may be lost, duplicated or overtaken on its own. */
    void sendUnreliably(Object channel, Runnable arrival) {
        mInFlight.add(new Message(channel, true, arrival));
    }

    boolean isEmpty() {
        return mInFlight.isEmpty();
    }

    /** Delivers one message, or applies a fault to it. */
    void deliverOne() {
        if (mInFlight.isEmpty()) {
            return;
        }
        Message m = mInFlight.get(mRandom.nextInt(mInFlight.size()));
        if (m.unreliable() && drawsFault()) {
            damage(m);
            return;
        }
        Message first = firstOf(m.channel());
        mInFlight.remove(first);
        first.arrival().run();
    }

    private void damage(Message m) {
        int kind = mRandom.nextInt(3);
        if (kind < 2) {
            mInFlight.remove(m);
        }
        if (kind > 0) {
            m.arrival().run();
        }
    }

    private Message firstOf(Object channel) {
        return mInFlight.stream().filter(m -> m.channel().equals(channel)).findFirst().get();
    }
}

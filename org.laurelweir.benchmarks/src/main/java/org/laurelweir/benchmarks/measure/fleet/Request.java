package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.benchmarks.measure.workload.Turn;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.placement.PlacementRequest;
import org.laurelweir.placement.WorkEstimate;

/** A turn's request and its progress through the fleet. */
public final class Request {
    private final Turn mTurn;
    private final PlacementRequest mPlacement;
    private final List<Engine> mVisited = new ArrayList<>(4);
    private int mRedirects;
    private int mHops;
    private boolean mHasWaited;
    private long mFirstTokenAt;
    private double mWorkUnits;
    private AttemptId mAttempt;

    Request(Turn turn, int expectedOutput) {
        mTurn = turn;
        mPlacement =
                new PlacementRequest(
                        turn.chat().key(),
                        "account-" + turn.chat().account(),
                        new WorkEstimate(turn.prompt(), 0, expectedOutput));
    }

    public Turn turn() {
        return mTurn;
    }

    /** Returns the request as placement policies see it. */
    public PlacementRequest placement() {
        return mPlacement;
    }

    /** Returns the work estimate at an engine, with the tokens cached there. */
    public WorkEstimate workAt(Engine engine) {
        int cached = Math.min(engine.cache().peek(mTurn.chat().id()), mTurn.prompt());
        return mPlacement.work().withCached(cached);
    }

    /** Returns the engines that the request was sent to, in order. */
    public List<Engine> visited() {
        return mVisited;
    }

    public int redirects() {
        return mRedirects;
    }

    /** Counts a redirect. */
    public void addRedirect() {
        mRedirects++;
        mHops++;
    }

    /** Counts a hop beyond the first: a redirect, a query or a failover. */
    public void addHop() {
        mHops++;
    }

    public int hops() {
        return mHops;
    }

    /** Returns whether a sidecar has already held the request back for the wait time. */
    public boolean hasWaited() {
        return mHasWaited;
    }

    /** Records that a sidecar held the request back. */
    public void setWaited() {
        mHasWaited = true;
    }

    /** Returns the id of the running attempt, or null if the scheme sets none. */
    public AttemptId attempt() {
        return mAttempt;
    }

    /** Sets the id of the running attempt. */
    public void setAttempt(AttemptId attempt) {
        mAttempt = attempt;
    }

    long firstTokenAt() {
        return mFirstTokenAt;
    }

    double workUnits() {
        return mWorkUnits;
    }

    void setStarted(double units, long firstTokenAt) {
        mWorkUnits = units;
        mFirstTokenAt = firstTokenAt;
    }

    /** Resets the request for a retry by the router after a crash before the first token. */
    void restart() {
        mRedirects = 0;
        mHasWaited = false;
        mVisited.clear();
        mHops++;
    }
}

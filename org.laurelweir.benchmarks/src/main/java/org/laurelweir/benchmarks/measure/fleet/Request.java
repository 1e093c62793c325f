package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.benchmarks.measure.workload.Turn;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.placement.PlacementRequest;
import org.laurelweir.placement.WorkEstimate;

/** One turn on its way through the fleet. */
public final class Request {
    private final Turn mTurn;
    private final PlacementRequest mPlacement;
    private final List<Engine> mVisited = new ArrayList<>(4);
    private int mRedirects;
    private int mHops;
    private boolean mWaited;
    private long mFirstTokenAt;
    private double mUnits;
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

    /** Returns what a policy is told of the request. */
    public PlacementRequest placement() {
        return mPlacement;
    }

    /** Returns the work estimate at an engine, with what it has cached. */
    public WorkEstimate workAt(Engine engine) {
        int cached = Math.min(engine.cache().peek(mTurn.chat().id()), mTurn.prompt());
        return mPlacement.work().withCached(cached);
    }

    /** Returns the engines that it has been sent to, in order. */
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

    /** Counts a hop over the one that every request takes: a redirect, a question, a failover. */
    public void addHop() {
        mHops++;
    }

    public int hops() {
        return mHops;
    }

    /** Returns whether a sidecar has held it already. */
    public boolean isWaited() {
        return mWaited;
    }

    /** Notes that a sidecar held it. */
    public void setWaited() {
        mWaited = true;
    }

    /** Returns the attempt that runs it, where the scheme names one. */
    public AttemptId attempt() {
        return mAttempt;
    }

    /** Notes the attempt that runs it. */
    public void setAttempt(AttemptId attempt) {
        mAttempt = attempt;
    }

    long firstTokenAt() {
        return mFirstTokenAt;
    }

    double units() {
        return mUnits;
    }

    void setStarted(double units, long firstTokenAt) {
        mUnits = units;
        mFirstTokenAt = firstTokenAt;
    }

    /** Begins again at the router after its engine failed before the first token. */
    void restart() {
        mRedirects = 0;
        mWaited = false;
        mVisited.clear();
        mHops++;
    }
}

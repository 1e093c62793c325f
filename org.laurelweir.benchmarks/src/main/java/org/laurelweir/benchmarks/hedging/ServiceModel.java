package org.laurelweir.benchmarks.hedging;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.laurelweir.hedging.HedgeBudget;
import org.laurelweir.hedging.HedgeDelay;
import org.laurelweir.hedging.HedgeRule;
import org.laurelweir.hedging.ServiceUse;

/**
 * A model of four plain servers behind one router that knows all its requests. Times are in
 * microseconds. Each call takes the work of its request, and one of a hundred pauses in addition.
 */
final class ServiceModel {
    private static final int SERVERS = 4;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int REQUESTS = 100_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final double MEAN_WORK_MICROS = 42_900;

    /** Standard deviation of the logarithm of the work. */
    private static final double WORK_DEVIATION = 0.3;

    private static final double PAUSE_SHARE = 0.01;
    private static final long PAUSE_MICROS = 200_000;
    private static final long LINK_MICROS = 1_400;
    private static final long SCAN_INTERVAL_MICROS = 10_000;
    private static final Duration OBJECTIVE = Duration.ofMillis(199);
    private static final long SURGE_PERIOD_MICROS = 12_000_000;
    private static final double SURGE_START = 0.75;
    private static final String NAME = "read";

    private final Scenario mScenario;
    private final Way mWay;
    private final SplittableRandom mArrivals;
    private final SplittableRandom mChoices;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Server> mServers = new ArrayList<>();
    private final HedgeDelay mDelay = new HedgeDelay();
    private final HedgeBudget mBudget;
    private final HedgeRule mRule;
    private final List<Long> mTimes = new ArrayList<>();
    private long mNow;
    private long mLastEvent;
    private long mBusy;
    private long mUseful;
    private int mArrived;
    private int mRefused;

    private record Event(long time, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return time != o.time ? Long.compare(time, o.time) : Long.compare(number, o.number);
        }
    }

    private static final class Request {
        private final double mWork;
        private final long mArrival;
        private final List<Call> mCalls = new ArrayList<>();
        private boolean mAnswered;

        Request(double work, long arrival) {
            mWork = work;
            mArrival = arrival;
        }

        boolean isOpen() {
            return mCalls.stream().anyMatch(c -> !c.mEnded);
        }
    }

    private static final class Call {
        private final Request mRequest;
        private final Server mServer;
        private final long mSent;
        private long mStarted = -1;
        private boolean mFinished;

        /** Whether its answer or refusal has arrived, or the router has cancelled it. */
        private boolean mEnded;

        /** Whether the cancellation has reached the server. */
        private boolean mCancelled;

        Call(Request request, Server server, long sent) {
            mRequest = request;
            mServer = server;
            mSent = sent;
        }
    }

    private static final class Server {
        private final ArrayDeque<Call> mQueue = new ArrayDeque<>();
        private final double mFactor;
        private int mRunning;

        /** Number of the router's calls that have not ended. */
        private int mOpen;

        Server(double factor) {
            mFactor = factor;
        }
    }

    ServiceModel(Scenario scenario, Way way, double share, long seed) {
        mScenario = scenario;
        mWay = way;
        mArrivals = new SplittableRandom(seed);
        mChoices = new SplittableRandom(seed + 1);
        mBudget = new HedgeBudget(share);
        mRule = new HedgeRule(mBudget);
        for (int i = 0; i < SERVERS; i++) {
            mServers.add(new Server(i == 0 ? scenario.slowFactor() : 1));
        }
    }

    /** Runs all requests; returns the outcome. */
    Outcome run() {
        after(0, this::arrive);
        while (!mEvents.isEmpty()) {
            Event e = mEvents.remove();
            mNow = e.time();
            e.action().run();
        }
        long[] sorted = mTimes.stream().mapToLong(t -> t).sorted().toArray();
        double extraWork = (double) mBusy / mUseful - 1;
        return new Outcome(sorted, extraWork, (double) mRefused / REQUESTS);
    }

    private void after(long delay, Runnable action) {
        mEvents.add(new Event(mNow + delay, ++mLastEvent, action));
    }

    private Instant now() {
        return Instant.EPOCH.plusNanos(1000 * mNow);
    }

    private void arrive() {
        double deviation = WORK_DEVIATION * mArrivals.nextGaussian();
        // The mean of the scatter is 1, so that the load is as stated.
        double scatter = Math.exp(deviation - WORK_DEVIATION * WORK_DEVIATION / 2);
        Request r = new Request(MEAN_WORK_MICROS * scatter, mNow);
        double phase = (double) (mNow % SURGE_PERIOD_MICROS) / SURGE_PERIOD_MICROS;
        double load = phase >= SURGE_START ? mScenario.surgeLoad() : mScenario.load();
        double meanCall = MEAN_WORK_MICROS + PAUSE_SHARE * PAUSE_MICROS;
        double interval = meanCall / (load * SERVERS * SLOTS);
        if (++mArrived < REQUESTS) {
            after((long) (-interval * Math.log(1 - mArrivals.nextDouble())), this::arrive);
        }
        mBudget.onRequest(NAME);
        send(r);
        if (mWay == Way.TIED) {
            // The first server, if idle, can tell the second before the copy arrives there.
            after(2 * LINK_MICROS, () -> send(r));
        } else if (mWay != Way.NONE) {
            after(SCAN_INTERVAL_MICROS, () -> checkDue(r));
        }
    }

    /** Sends a request to the less loaded of two random servers that it has not been sent to. */
    private void send(Request r) {
        List<Server> untried = new ArrayList<>(mServers);
        r.mCalls.forEach(c -> untried.remove(c.mServer));
        Server a = untried.remove(mChoices.nextInt(untried.size()));
        Server b = untried.get(mChoices.nextInt(untried.size()));
        Call c = new Call(r, a.mOpen <= b.mOpen ? a : b, mNow);
        r.mCalls.add(c);
        c.mServer.mOpen++;
        after(LINK_MICROS, () -> onCall(c));
    }

    private void checkDue(Request r) {
        if (r.mAnswered || r.mCalls.size() >= MAX_ATTEMPTS) {
            return;
        }
        HedgeDelay.Due due = mDelay.due(NAME, OBJECTIVE, Duration.ZERO, 1, now());
        long delay = mWay == Way.FIXED ? OBJECTIVE.toNanos() / 2000 : due.delay().toNanos() / 1000;
        if (mNow <= r.mArrival + delay) {
            after(SCAN_INTERVAL_MICROS, () -> checkDue(r));
        } else if (mWay != Way.LIMITED || isPermitted(due)) {
            mBudget.onHedged(NAME);
            send(r);
        }
    }

    private boolean isPermitted(HedgeDelay.Due due) {
        double mean = mServers.stream().mapToInt(s -> s.mOpen).average().orElse(0);
        ServiceUse use = new ServiceUse(mean, SLOTS, Double.NaN, 0);
        HedgeRule.SlowRequest slow =
                new HedgeRule.SlowRequest(NAME, 1, false, due.canMeetObjective());
        return mRule.check(slow, () -> use).isEmpty();
    }

    private void onCall(Call c) {
        if (mWay == Way.TIED && knowsOfOtherStart(c)) {
            untie(c);
        } else if (c.mServer.mRunning < SLOTS) {
            start(c);
        } else if (c.mServer.mQueue.size() < QUEUE) {
            c.mServer.mQueue.add(c);
        } else {
            after(LINK_MICROS, () -> onRefused(c));
        }
    }

    private void start(Call c) {
        c.mServer.mRunning++;
        c.mStarted = mNow;
        long pause = mChoices.nextDouble() < PAUSE_SHARE ? PAUSE_MICROS : 0;
        after((long) (c.mRequest.mWork * c.mServer.mFactor) + pause, () -> onFinished(c));
        if (mWay == Way.TIED) {
            c.mRequest.mCalls.stream()
                    .filter(o -> o != c)
                    .forEach(o -> after(LINK_MICROS, () -> untie(o)));
        }
    }

    /** Returns whether the message that the other server runs the request has arrived. */
    private boolean knowsOfOtherStart(Call c) {
        return c.mRequest.mCalls.stream()
                .anyMatch(o -> o != c && o.mStarted >= 0 && o.mStarted + LINK_MICROS <= mNow);
    }

    /** Drops a tied copy that has not started once the message of the other's start arrives. */
    private void untie(Call c) {
        if (c.mStarted < 0) {
            c.mServer.mQueue.remove(c);
            after(LINK_MICROS, () -> end(c));
        }
    }

    private void onFinished(Call c) {
        if (!c.mCancelled) {
            c.mFinished = true;
            release(c);
            after(LINK_MICROS, () -> onAnswer(c));
        }
    }

    private void release(Call c) {
        mBusy += mNow - c.mStarted;
        c.mServer.mRunning--;
        while (c.mServer.mRunning < SLOTS && !c.mServer.mQueue.isEmpty()) {
            start(c.mServer.mQueue.remove());
        }
    }

    private void onAnswer(Call c) {
        Request r = c.mRequest;
        end(c);
        if (r.mAnswered) {
            return;
        }
        r.mAnswered = true;
        mTimes.add(mNow - r.mArrival);
        mUseful += mNow - LINK_MICROS - c.mStarted;
        for (Call o : r.mCalls) {
            if (o == c || !o.mEnded && o.mSent < c.mSent) {
                mDelay.onFirstData(NAME, Duration.ofNanos(1000 * (mNow - o.mSent)), now());
            }
            if (!o.mEnded) {
                end(o);
                after(LINK_MICROS, () -> onCancel(o));
            }
        }
    }

    private void onCancel(Call c) {
        c.mCancelled = true;
        if (c.mStarted < 0) {
            c.mServer.mQueue.remove(c);
        } else if (!c.mFinished) {
            release(c);
        }
    }

    private void onRefused(Call c) {
        Request r = c.mRequest;
        end(c);
        if (r.mAnswered || r.isOpen()) {
            return;
        }
        if (r.mCalls.size() < MAX_ATTEMPTS) {
            send(r);
        } else {
            mRefused++;
        }
    }

    private static void end(Call c) {
        if (!c.mEnded) {
            c.mEnded = true;
            c.mServer.mOpen--;
        }
    }

    /**
     * The results of a run.
     *
     * @param times times to the answer in microseconds, ascending
     * @param extraWork work on calls whose answers were not used, relative to that on the others
     * @param refused share of the requests that were refused
     */
    record Outcome(long[] times, double extraWork, double refused) {
        /** Returns a quantile of the times to the answer, in milliseconds. */
        double millis(double quantile) {
            return times[(int) Math.ceil(quantile * times.length) - 1] / 1000.0;
        }
    }
}

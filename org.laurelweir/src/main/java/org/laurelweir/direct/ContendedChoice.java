package org.laurelweir.direct;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.laurelweir.demand.RequestDemand;
import org.laurelweir.direct.ContendedCalls.Prediction;
import org.laurelweir.direct.ServerChoice.CandidateLoad;
import org.laurelweir.direct.ServerChoice.Choice;
import org.laurelweir.placement.Candidate;

/**
 * Chooses among the candidates of a request whose deployment is contended: by the memory of the
 * engines, the predicted time to the first event, and the failure rate over all routers.
 */
final class ContendedChoice {
    /**
     * Share of the objective up to which a server that does not rank first is taken by its rank.
     * Predictions lack the requests of the last exchange interval; the rest of the objective is for
     * those.
     */
    private static final double SAFE_SHARE = 0.5;

    /**
     * The same share for the server that ranks first. It holds the shared parts of the prompt; any
     * other server has to read them, which delays the requests that it runs.
     */
    private static final double HOME_SHARE = 0.9;

    /**
     * Requests leave the server that ranks first in the upper part of the bound's range only, for
     * the same reason.
     */
    private static final double SPILL_DRAW_SHARE = 0.5;

    /**
     * Step of the failure rate of plain servers; smaller differences are chance, at a few requests
     * a second.
     */
    private static final double FAILURE_RATE_STEP = 0.05;

    /**
     * The same step for engines, which run fewer requests and have cached some of their prompts.
     */
    private static final double ENGINE_FAILURE_RATE_STEP = 0.25;

    /** Keeps a rate that is a multiple of the step from falling below it by rounding. */
    private static final double ROUNDING = 1e-9;

    /** Time lost with a failed run of a plain server, in runs: the run itself. */
    private static final double FAILED_RUN_COST = 1;

    /**
     * Number of plain servers that are compared by load. If all routers took the least loaded one
     * of all, they would all take the same one until the next exchange.
     */
    private static final int COMPARED_PLAIN_SERVERS = 2;

    private final ServerChoice mChoice;
    private final ServerTable mServers;
    private final ContendedCalls mCalls;
    private final RestorableRandom mRandom;

    ContendedChoice(
            ServerChoice choice,
            ServerTable servers,
            ContendedCalls calls,
            RestorableRandom random) {
        mChoice = choice;
        mServers = servers;
        mCalls = calls;
        mRandom = random;
    }

    /**
     * An engine that may be taken for a request.
     *
     * @param isHome whether it ranks first
     * @param hasMemory whether its memory would hold the request in addition to those there
     * @param failureClass lower is better
     * @param millis the predicted time to the first event, with the expected time lost by a
     *     failure; NaN if it can't be predicted
     */
    private record Option(
            CandidateLoad candidate,
            boolean isHome,
            boolean hasMemory,
            int failureClass,
            double millis) {
        double safeShare() {
            return isHome ? HOME_SHARE : SAFE_SHARE;
        }

        boolean isWithin(double limitMillis) {
            return Double.isNaN(millis) || millis <= limitMillis;
        }

        boolean isPredicted() {
            return !Double.isNaN(millis);
        }
    }

    /**
     * Chooses a server, or none for now if none has room.
     *
     * @param all the candidates by rank, the random ones last
     */
    Optional<Choice> choose(ActiveRequest r, List<CandidateLoad> all, Instant now) {
        SpillBound bound = new SpillBound(mChoice.mean(r, all, now));
        return r.mRequest.prompt().isPresent()
                ? chooseEngine(r, all, bound, now)
                : choosePlain(r, all, bound, now);
    }

    private Optional<Choice> chooseEngine(
            ActiveRequest r, List<CandidateLoad> all, SpillBound bound, Instant now) {
        RequestDemand demand = mCalls.demand(r);
        List<Option> every =
                all.stream().map(c -> option(r, demand, c, c == all.get(0), now)).toList();
        List<Option> options =
                every.stream()
                        .filter(o -> o.hasMemory() && mChoice.hasRoom(o.candidate()))
                        .sorted(Comparator.comparingInt(Option::failureClass))
                        .toList();
        return find(r, options, bound)
                .map(
                        o ->
                                mChoice.choice(
                                        o.candidate(),
                                        reason(r, o, every.get(0), bound),
                                        all,
                                        bound.upper()));
    }

    /** Returns the reason; without a prediction it is one that other deployments have as well. */
    private static String reason(ActiveRequest r, Option o, Option first, SpillBound bound) {
        if (o.candidate().load() > bound.upper()) {
            return "all_over_bound";
        }
        if (!first.hasMemory()) {
            return "no_memory";
        }
        if (!o.isPredicted()) {
            return o == first ? "home" : "next";
        }
        return o.isWithin(o.safeShare() * objectiveMillis(r)) ? "within_target" : "earliest";
    }

    /**
     * Returns the first option by failure class and rank whose time is safe; else the earliest in
     * the lowest class that meets the objective; else the first by rank, since a server that would
     * miss the objective too should not read the shared parts. Those above the bound are the last
     * resort, and then the load decides.
     */
    private Optional<Option> find(ActiveRequest r, List<Option> options, SpillBound bound) {
        double objective = objectiveMillis(r);
        List<Option> inBound =
                options.stream().filter(o -> o.candidate().load() <= bound.upper()).toList();
        int[] classes = options.stream().mapToInt(Option::failureClass).distinct().toArray();
        for (int failureClass : classes) {
            Optional<Option> found =
                    firstSafe(ofClass(options, failureClass), objective, bound)
                            .or(
                                    () ->
                                            earliest(ofClass(inBound, failureClass))
                                                    .filter(o -> o.isWithin(objective)));
            if (found.isPresent()) {
                return found;
            }
        }
        return inBound.stream().findFirst().or(() -> leastLoaded(options));
    }

    private static List<Option> ofClass(List<Option> options, int failureClass) {
        return options.stream().filter(o -> o.failureClass() == failureClass).toList();
    }

    private static Optional<Option> leastLoaded(List<Option> options) {
        return options.stream().min(Comparator.comparingDouble(o -> o.candidate().load()));
    }

    private Optional<Option> firstSafe(
            List<Option> options, double objectiveMillis, SpillBound bound) {
        return options.stream()
                .filter(o -> o.isWithin(o.safeShare() * objectiveMillis))
                .filter(o -> isAdmitted(o, bound))
                .findFirst();
    }

    private boolean isAdmitted(Option o, SpillBound bound) {
        double draw = mRandom.nextDouble();
        boolean isKnownHome = o.isHome() && o.isPredicted();
        return bound.admits(o.candidate().load(), isKnownHome ? SPILL_DRAW_SHARE * draw : draw);
    }

    /** Returns the option with the earliest prediction or, without predictions, the least load. */
    private static Optional<Option> earliest(List<Option> options) {
        return options.stream()
                .min(
                        Comparator.comparingDouble(Option::millis)
                                .thenComparingDouble(o -> o.candidate().load()));
    }

    private Option option(
            ActiveRequest r, RequestDemand demand, CandidateLoad c, boolean isFirst, Instant now) {
        Prediction p = mCalls.predict(r, demand, c.server().ref(), isFirst, now);
        boolean hasMemory = hasMemory(r, c, p, now);
        double millis = p.firstEventMillis();
        int engineClass = engineClass(c.server(), now);
        if (isLostOnFailure(r)) {
            return new Option(c, isFirst, hasMemory, engineClass, millis);
        }
        // A failure often shows late, as a broken-off or stalled answer: when the objective passed.
        double lost = failureRate(c.server(), now) * (millis + objectiveMillis(r));
        return new Option(c, isFirst, hasMemory, engineClass, millis + lost);
    }

    /** Returns whether the memory of a server would hold a request in addition to those there. */
    private boolean hasMemory(ActiveRequest r, CandidateLoad c, Prediction p, Instant now) {
        int memory = r.mRequest.terms().engine(r.mService).memoryTokens();
        double held = mCalls.fleet().tokens(now, r.mService, c.server().ref());
        return memory <= 0 || held + p.heldTokens() <= memory;
    }

    private Optional<Choice> choosePlain(
            ActiveRequest r, List<CandidateLoad> all, SpillBound bound, Instant now) {
        List<CandidateLoad> open = all.stream().filter(c -> mChoice.canAccept(r, c)).toList();
        int best = open.stream().mapToInt(c -> plainClass(r, c, bound, now)).min().orElse(0);
        return open.stream()
                .filter(c -> plainClass(r, c, bound, now) == best)
                .limit(COMPARED_PLAIN_SERVERS)
                .min(Comparator.comparingDouble(c -> plainCost(r, c, now)))
                .map(c -> mChoice.choice(c, "least_loaded", all, bound.upper()));
    }

    /** Returns the class of a plain server; servers above the bound are in the last class. */
    private int plainClass(ActiveRequest r, CandidateLoad c, SpillBound bound, Instant now) {
        if (c.load() > bound.upper()) {
            return Integer.MAX_VALUE;
        }
        return isLostOnFailure(r) ? failureClass(r, c.server(), now) : 0;
    }

    private double plainCost(ActiveRequest r, CandidateLoad c, Instant now) {
        int slots = Math.max(1, mChoice.slots(c.server()));
        double work = (c.load() + 1) * mCalls.slowness(c.server().ref(), now) / slots;
        return isLostOnFailure(r) ? work : work + failureRate(c.server(), now) * FAILED_RUN_COST;
    }

    /** Returns whether a failure of the next server loses the request. */
    private static boolean isLostOnFailure(ActiveRequest r) {
        return !r.isRepeatable() || r.mAttemptCount + 1 >= r.route().maxAttempts();
    }

    /**
     * Returns the class of a server for a request that its failure would lose: by the failure rate
     * over all routers, then by whether it has failed a request of this router recently.
     */
    private int failureClass(ActiveRequest r, Candidate c, Instant now) {
        int steps = steps(c, FAILURE_RATE_STEP, now);
        return 2 * steps + (mServers.isUnreliable(r.mService, c.ref(), now) ? 1 : 0);
    }

    /** Returns the class of an engine, by the failure rate over all routers. */
    private int engineClass(Candidate c, Instant now) {
        return steps(c, ENGINE_FAILURE_RATE_STEP, now);
    }

    private int steps(Candidate c, double step, Instant now) {
        return (int) Math.floor(failureRate(c, now) / step + ROUNDING);
    }

    private double failureRate(Candidate c, Instant now) {
        return mCalls.fleet().failureRate(now, c.ref());
    }

    private static double objectiveMillis(ActiveRequest r) {
        return r.route().objective().toMillis();
    }
}

package org.laurelweir.benchmarks.measure.workload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.Deployment.Pause;
import org.laurelweir.benchmarks.measure.Deployment.ServiceSpec;
import org.laurelweir.benchmarks.measure.Deployment.Surge;
import org.laurelweir.placement.ChatKey;

/** Generates the arrivals of a deployment, in steady state from the first second. */
public final class TraceGenerator {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SECONDS_PER_MINUTE = 60;

    private final Deployment mDeployment;
    private final Sampler mSampler;
    private final double mNewChatShare;
    private final double[] mCumulativeAccountShares;
    private final long mEndMicros;
    private final List<Turn> mPrecedingTurns = new ArrayList<>();
    private final List<Turn> mTurns = new ArrayList<>();
    private final PriorityQueue<ScheduledReturn> mReturns =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledReturn::at)
                            .thenComparingInt(ScheduledReturn::id));
    private int mChatCount;

    private record ScheduledReturn(long at, Chat chat, int history) {
        int id() {
            return chat.id();
        }
    }

    private TraceGenerator(Deployment deployment, long seed) {
        mDeployment = deployment;
        mSampler = new Sampler(new SplittableRandom(seed));
        mNewChatShare = 1 / deployment.chats().meanTurns();
        mCumulativeAccountShares = cumulativeAccountShares(deployment.accounts());
        mEndMicros = micros(deployment.minutes() * SECONDS_PER_MINUTE);
    }

    /** Returns the arrivals. Equal deployments and seeds give equal arrivals. */
    public static Trace generate(Deployment deployment, long seed) {
        return new TraceGenerator(deployment, seed).run();
    }

    private Trace run() {
        for (int s = 0; s < mDeployment.services().size(); s++) {
            addChatsInPause(s);
            addNewChats(s);
        }
        for (Surge surge : mDeployment.surges()) {
            addSurge(surge);
        }
        while (!mReturns.isEmpty()) {
            addReturn(mReturns.poll());
        }
        mPrecedingTurns.sort(Comparator.comparingLong(Turn::at));
        mTurns.sort(Comparator.comparingLong(Turn::at).thenComparingInt(t -> t.chat().id()));
        return new Trace(mPrecedingTurns, mTurns);
    }

    private double rate(int service) {
        return mDeployment.requestsPerSecond() * mDeployment.services().get(service).share();
    }

    /**
     * Adds the chats that are in a pause when the run begins. By Little's law, their number is the
     * rate of pauses times the mean pause.
     */
    private void addChatsInPause(int service) {
        for (Pause p : mDeployment.chats().pauses()) {
            double inPause = rate(service) * (1 - mNewChatShare) * p.share() * p.mean();
            for (int i = 0; i < Math.round(inPause); i++) {
                double pause = mSampler.lengthBiased(p);
                double age = pause * mSampler.uniform();
                Chat chat = newChat(service, mSampler.pickIndex(mCumulativeAccountShares));
                int history = historyTokens(service);
                mPrecedingTurns.add(new Turn(-micros(age), chat, 0, 0, history, 0, 0));
                mReturns.add(new ScheduledReturn(micros(pause - age), chat, history));
            }
        }
    }

    private int historyTokens(int service) {
        int tokens = openingTokens(mDeployment.services().get(service).dossierShare());
        int turns = 1 + mSampler.geometric(mNewChatShare);
        for (int i = 0; i < turns; i++) {
            tokens += userTokens() + outputTokens();
        }
        return tokens;
    }

    private void addNewChats(int service) {
        ServiceSpec spec = mDeployment.services().get(service);
        double perSecond = rate(service) * mNewChatShare;
        double at = mSampler.exponential(perSecond);
        while (micros(at) < mEndMicros) {
            Chat chat = newChat(service, mSampler.pickIndex(mCumulativeAccountShares));
            addOpening(micros(at), chat, spec.dossierShare(), true);
            at += mSampler.exponential(perSecond);
        }
    }

    private void addSurge(Surge surge) {
        double share =
                mCumulativeAccountShares[surge.account()] - cumulativeShareBefore(surge.account());
        double end = (surge.startMinute() + surge.minutes()) * SECONDS_PER_MINUTE;
        for (int s = 0; s < mDeployment.services().size(); s++) {
            double perSecond = rate(s) * share * (surge.factor() - 1);
            double at = surge.startMinute() * SECONDS_PER_MINUTE + mSampler.exponential(perSecond);
            while (at < end) {
                addOpening(micros(at), newChat(s, surge.account()), surge.dossierShare(), false);
                at += mSampler.exponential(perSecond);
            }
        }
    }

    private double cumulativeShareBefore(int account) {
        return account == 0 ? 0 : mCumulativeAccountShares[account - 1];
    }

    private void addOpening(long at, Chat chat, double dossierShare, boolean returns) {
        int opening = openingTokens(dossierShare);
        boolean dossier = opening >= mDeployment.chats().dossier().least();
        int millis =
                dossier
                        ? mDeployment.chats().dossierDeadlineMillis()
                        : mDeployment.chats().deadlineMillis();
        int output = outputTokens();
        int prompt = opening + userTokens();
        mTurns.add(new Turn(at, chat, randomRouter(), 0, prompt, output, millis * 1000L));
        if (returns) {
            scheduleReturn(at, chat, prompt + output);
        }
    }

    private void addReturn(ScheduledReturn r) {
        if (r.at >= mEndMicros) {
            return;
        }
        int prompt = r.history + userTokens();
        int output = outputTokens();
        long deadline = mDeployment.chats().deadlineMillis() * 1000L;
        mTurns.add(new Turn(r.at, r.chat, randomRouter(), r.history, prompt, output, deadline));
        scheduleReturn(r.at, r.chat, prompt + output);
    }

    private void scheduleReturn(long at, Chat chat, int history) {
        if (mSampler.uniform() < mNewChatShare) {
            return;
        }
        mReturns.add(new ScheduledReturn(at + micros(mSampler.pause(pauses())), chat, history));
    }

    private List<Pause> pauses() {
        return mDeployment.chats().pauses();
    }

    private Chat newChat(int service, int account) {
        int id = mChatCount++;
        return new Chat(id, ChatKey.of("account-" + account, "chat-" + id), service, account);
    }

    private int openingTokens(double dossierShare) {
        if (mSampler.uniform() < dossierShare) {
            return mSampler.pareto(mDeployment.chats().dossier());
        }
        double most = mDeployment.chats().dossier().least() - 1;
        return (int) Math.min(most, mSampler.tokens(mDeployment.chats().opening()));
    }

    private int userTokens() {
        return mSampler.tokens(mDeployment.chats().user());
    }

    private int outputTokens() {
        return mSampler.tokens(mDeployment.chats().output());
    }

    private int randomRouter() {
        return mSampler.uniformInt(mDeployment.routers());
    }

    private static double[] cumulativeAccountShares(Deployment.Accounts accounts) {
        double[] cumulative = new double[accounts.count()];
        double sum = 0;
        for (int i = 0; i < cumulative.length; i++) {
            sum += Math.pow(i + 1, -accounts.skew());
            cumulative[i] = sum;
        }
        for (int i = 0; i < cumulative.length; i++) {
            cumulative[i] /= sum;
        }
        return cumulative;
    }

    private static long micros(double seconds) {
        return (long) (seconds * MICROS_PER_SECOND);
    }
}

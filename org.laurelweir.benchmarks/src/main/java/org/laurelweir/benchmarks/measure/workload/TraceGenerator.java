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

/** Generates the arrivals of a deployment, in a steady state from the first second on. */
public final class TraceGenerator {
    private static final double MICROS = 1e6;
    private static final int MINUTE = 60;

    private final Deployment mDeployment;
    private final Samples mSamples;
    private final double mNewShare;
    private final double[] mAccounts;
    private final long mEnd;
    private final List<Turn> mEarlier = new ArrayList<>();
    private final List<Turn> mTurns = new ArrayList<>();
    private final PriorityQueue<Return> mReturns =
            new PriorityQueue<>(Comparator.comparingLong(Return::at).thenComparingInt(Return::id));
    private int mChats;

    private record Return(long at, Chat chat, int history) {
        int id() {
            return chat.id();
        }
    }

    private TraceGenerator(Deployment deployment, long seed) {
        mDeployment = deployment;
        mSamples = new Samples(new SplittableRandom(seed));
        mNewShare = 1 / deployment.chats().meanTurns();
        mAccounts = accountShares(deployment.accounts());
        mEnd = micros(deployment.minutes() * MINUTE);
    }

    /** Returns the arrivals; the same for the same deployment and seed. */
    public static Trace generate(Deployment deployment, long seed) {
        return new TraceGenerator(deployment, seed).run();
    }

    private Trace run() {
        for (int s = 0; s < mDeployment.services().size(); s++) {
            addReturning(s);
            addNew(s);
        }
        for (Surge surge : mDeployment.surges()) {
            addSurge(surge);
        }
        while (!mReturns.isEmpty()) {
            addTurn(mReturns.poll());
        }
        mEarlier.sort(Comparator.comparingLong(Turn::at));
        mTurns.sort(Comparator.comparingLong(Turn::at).thenComparingInt(t -> t.chat().id()));
        return new Trace(mEarlier, mTurns);
    }

    private double rate(int service) {
        return mDeployment.requestsPerSecond() * mDeployment.services().get(service).share();
    }

    /** Adds the chats that are in a pause when the run begins, by Little's law for each pause. */
    private void addReturning(int service) {
        for (Pause p : mDeployment.chats().pauses()) {
            double inPause = rate(service) * (1 - mNewShare) * p.share() * p.mean();
            for (int i = 0; i < Math.round(inPause); i++) {
                double pause = mSamples.lengthBiased(p);
                double age = pause * mSamples.uniform();
                Chat chat = newChat(service, mSamples.pick(mAccounts));
                int history = pastHistory(service);
                mEarlier.add(new Turn(-micros(age), chat, 0, 0, history, 0, 0));
                mReturns.add(new Return(micros(pause - age), chat, history));
            }
        }
    }

    private int pastHistory(int service) {
        int tokens = opening(mDeployment.services().get(service).dossierShare());
        int turns = 1 + mSamples.geometric(mNewShare);
        for (int i = 0; i < turns; i++) {
            tokens += user() + output();
        }
        return tokens;
    }

    private void addNew(int service) {
        ServiceSpec spec = mDeployment.services().get(service);
        double perSecond = rate(service) * mNewShare;
        double at = mSamples.exponential(perSecond);
        while (micros(at) < mEnd) {
            Chat chat = newChat(service, mSamples.pick(mAccounts));
            addOpening(micros(at), chat, spec.dossierShare(), true);
            at += mSamples.exponential(perSecond);
        }
    }

    private void addSurge(Surge surge) {
        double share = mAccounts[surge.account()] - previous(surge.account());
        double end = (surge.startMinute() + surge.minutes()) * MINUTE;
        for (int s = 0; s < mDeployment.services().size(); s++) {
            double perSecond = rate(s) * share * (surge.factor() - 1);
            double at = surge.startMinute() * MINUTE + mSamples.exponential(perSecond);
            while (at < end) {
                addOpening(micros(at), newChat(s, surge.account()), surge.dossierShare(), false);
                at += mSamples.exponential(perSecond);
            }
        }
    }

    private double previous(int account) {
        return account == 0 ? 0 : mAccounts[account - 1];
    }

    private void addOpening(long at, Chat chat, double dossierShare, boolean returns) {
        int opening = opening(dossierShare);
        boolean dossier = opening >= mDeployment.chats().dossier().least();
        int millis =
                dossier
                        ? mDeployment.chats().dossierDeadlineMillis()
                        : mDeployment.chats().deadlineMillis();
        int output = output();
        int prompt = opening + user();
        mTurns.add(new Turn(at, chat, router(), 0, prompt, output, millis * 1000L));
        if (returns) {
            scheduleReturn(at, chat, prompt + output);
        }
    }

    private void addTurn(Return r) {
        if (r.at >= mEnd) {
            return;
        }
        int prompt = r.history + user();
        int output = output();
        long deadline = mDeployment.chats().deadlineMillis() * 1000L;
        mTurns.add(new Turn(r.at, r.chat, router(), r.history, prompt, output, deadline));
        scheduleReturn(r.at, r.chat, prompt + output);
    }

    private void scheduleReturn(long at, Chat chat, int history) {
        if (mSamples.uniform() < mNewShare) {
            return;
        }
        mReturns.add(new Return(at + micros(mSamples.pause(pauses())), chat, history));
    }

    private List<Pause> pauses() {
        return mDeployment.chats().pauses();
    }

    private Chat newChat(int service, int account) {
        int id = mChats++;
        return new Chat(id, ChatKey.of("account-" + account, "chat-" + id), service, account);
    }

    private int opening(double dossierShare) {
        if (mSamples.uniform() < dossierShare) {
            return mSamples.pareto(mDeployment.chats().dossier());
        }
        double most = mDeployment.chats().dossier().least() - 1;
        return (int) Math.min(most, mSamples.tokens(mDeployment.chats().opening()));
    }

    private int user() {
        return mSamples.tokens(mDeployment.chats().user());
    }

    private int output() {
        return mSamples.tokens(mDeployment.chats().output());
    }

    private int router() {
        return mSamples.below(mDeployment.routers());
    }

    private static double[] accountShares(Deployment.Accounts accounts) {
        double[] upTo = new double[accounts.count()];
        double sum = 0;
        for (int i = 0; i < upTo.length; i++) {
            sum += Math.pow(i + 1, -accounts.skew());
            upTo[i] = sum;
        }
        for (int i = 0; i < upTo.length; i++) {
            upTo[i] /= sum;
        }
        return upTo;
    }

    private static long micros(double seconds) {
        return (long) (seconds * MICROS);
    }
}

package org.laurelweir.control.history;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.laurelweir.consensus.Membership;
import org.laurelweir.control.history.JoiningControls.Instance;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.lib.ResultCode;

/**
 * Plays random losses of instances that overlap, while an operator changes settings. There are
 * never more than the log has to survive: an instance counts as lost until 4 s after its
 * successor's start or its own return.
 */
final class LossScenario {
    /** Time after a return during which an instance still counts as lost. */
    private static final int MAKE_GOOD_MILLIS = 4_000;

    private static final int SETTLE_MILLIS = 6_000;
    private static final int MAX_CUT_OFF_MILLIS = 15_000;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int RESEND_MILLIS = 300;
    private static final int READ_MILLIS = 500;
    private static final int FINAL_READS_MILLIS = 2_000;
    private static final int OBSERVE_MILLIS = 100;
    private static final int MAX_VISITORS = 2;
    private static final int MAX_VOTERS = 7;

    /** What happens to an instance. */
    enum Loss {
        REPLACED,
        WIPED,
        WIPED_TWICE,
        CUT_OFF,
        FLAPPING,
        RESTARTED;

        /** Returns whether the instance's copy of the log is lost. */
        boolean isOfDisk() {
            return this == REPLACED || this == WIPED || this == WIPED_TWICE;
        }
    }

    private final JoiningControls mControls;
    private final Random mRandom;
    private final List<Slot> mSlots = new ArrayList<>();
    private final List<Instance> mVisitors = new ArrayList<>();
    private final List<String> mAccepted = new ArrayList<>();
    private final List<String> mTrace = new ArrayList<>();
    private final int mTolerance;
    private final List<Loss> mLosses;
    private final boolean mWithPowerCuts;
    private String mViolation = "";
    private int mLastReadSize;
    private String mLastMembership = "";
    private long mPowerBackAt;
    private int mSent;

    /**
     * Creates a deployment with empty disks.
     *
     * @param instances number of instances with disks, 3 to 7
     * @param losses the losses that may happen
     * @param withPowerCuts whether all instances may lose power at the moment of a loss
     */
    LossScenario(int instances, long seed, List<Loss> losses, boolean withPowerCuts) {
        int voters = Math.min(MAX_VOTERS, instances - 1 + instances % 2);
        mTolerance = (voters - 1) / 2;
        mLosses = losses;
        mWithPowerCuts = withPowerCuts;
        mControls = new JoiningControls(instances, voters, seed);
        mRandom = new Random(~seed);
        mControls.instances().forEach(m -> mSlots.add(new Slot(m)));
    }

    /**
     * Plays losses for a time, then one more of as many instances as the log has to survive, and
     * then waits until all is back.
     *
     * @return what was not kept, or an empty text
     */
    String play(int millis) {
        mControls.run(SETTLE_MILLIS);
        changeNext();
        readNext();
        observeNext();
        long end = now() + millis;
        while (now() < end) {
            loseSomething();
            mControls.run(nextPauseMillis());
        }
        awaitAllMadeGood();
        loseSeveral(Loss.WIPED);
        awaitAllMadeGood();
        return verdict();
    }

    /** Returns the losses, the leaders and the memberships in the order of their times. */
    String trace() {
        return String.join("\n", mTrace);
    }

    private long now() {
        return mControls.mTime.now();
    }

    private void note(String text) {
        mTrace.add(String.format("%7.3f s: %s", now() / 1e3, text));
    }

    private int between(int min, int max) {
        return min + mRandom.nextInt(max - min + 1);
    }

    private <T> T anyOf(List<T> choices) {
        return choices.get(mRandom.nextInt(choices.size()));
    }

    /** Returns a short pause, or one until the next instance no longer counts as lost. */
    private int nextPauseMillis() {
        long next =
                mSlots.stream()
                        .mapToLong(s -> s.mLostUntil)
                        .filter(t -> t > now() && t < Long.MAX_VALUE)
                        .min()
                        .orElse(now());
        return mRandom.nextBoolean() && next > now()
                ? (int) (next - now()) + between(1, 50)
                : between(50, 3_000);
    }

    private void loseSomething() {
        switch (mRandom.nextInt(6)) {
            case 0 -> loseSeveral(anyOf(mLosses));
            case 1 -> loseLeader();
            case 2 -> loseAgain();
            case 3 -> visit();
            default -> loseOne();
        }
    }

    private List<Slot> slots(Predicate<Slot> condition) {
        return mSlots.stream().filter(condition).collect(Collectors.toList());
    }

    private int spareLosses() {
        return mTolerance - slots(Slot::isLost).size();
    }

    private void loseOne() {
        List<Slot> candidates = slots(s -> !s.isLost());
        if (spareLosses() > 0) {
            lose(List.of(anyOf(candidates)), anyOf(mLosses));
        }
    }

    private void loseLeader() {
        if (spareLosses() > 0) {
            mControls
                    .leader()
                    .flatMap(m -> mSlots.stream().filter(s -> s.mInstance == m).findFirst())
                    .filter(s -> !s.isLost())
                    .ifPresent(s -> lose(List.of(s), anyOf(mLosses)));
        }
    }

    private void loseSeveral(Loss loss) {
        List<Slot> candidates = slots(s -> !s.isLost());
        Collections.shuffle(candidates, mRandom);
        if (spareLosses() > 0) {
            lose(candidates.subList(0, spareLosses()), loss);
        }
    }

    /** Loses an instance that has returned and still counts as lost. */
    private void loseAgain() {
        List<Slot> candidates = slots(s -> s.isLost() && !s.mIsAway);
        if (!candidates.isEmpty()) {
            lose(List.of(anyOf(candidates)), anyOf(mLosses));
        }
    }

    private void lose(List<Slot> slots, Loss loss) {
        boolean withPowerCut = mWithPowerCuts && loss.isOfDisk() && mRandom.nextBoolean();
        note(loss + " " + slots + (withPowerCut ? ", power cut" : "") + ", " + spareLosses());
        slots.forEach(s -> s.lose(loss));
        if (withPowerCut) {
            cutPower();
        }
    }

    /** Cuts the power of all instances for a second or so. All disks stay. */
    private void cutPower() {
        mPowerBackAt = Math.max(mPowerBackAt, now() + between(300, 1_500));
        List<Instance> running =
                mControls.instances().stream().filter(Instance::isUp).collect(Collectors.toList());
        for (Instance m : running) {
            m.stop();
            whenPowered(0, m::start);
        }
        slots(s -> s.isLost() && !s.mIsAway).forEach(s -> s.countUntil(mPowerBackAt));
    }

    /** Runs an action after a time, and not before the power is back. */
    private void whenPowered(int millis, Runnable action) {
        mControls.mTime.after(
                millis,
                () -> {
                    if (now() < mPowerBackAt) {
                        whenPowered((int) (mPowerBackAt - now()) + between(0, 300), action);
                    } else {
                        action.run();
                    }
                });
    }

    /** Lets an instance without a disk come or go. */
    private void visit() {
        if (mVisitors.size() < MAX_VISITORS) {
            whenPowered(0, () -> mVisitors.add(mControls.add(false)));
        } else {
            mVisitors.remove(mRandom.nextInt(mVisitors.size())).lose();
        }
    }

    private void awaitAllMadeGood() {
        while (!slots(Slot::isLost).isEmpty()) {
            mControls.run(OBSERVE_MILLIS);
        }
    }

    private String verdict() {
        boolean isWritable = mControls.change("/service=last", RECOVERY_MILLIS);
        if (isWritable) {
            mAccepted.add("/service=last");
        }
        int accepted = mAccepted.size();
        long end = now() + RECOVERY_MILLIS;
        while (!isAtFullStrength() && now() < end) {
            mControls.run(OBSERVE_MILLIS);
        }
        mControls.run(FINAL_READS_MILLIS);
        if (!mViolation.isEmpty()) {
            return mViolation;
        }
        if (!isWritable) {
            return "no change is accepted";
        }
        if (mLastReadSize < accepted) {
            return "the accepted changes can't be read";
        }
        return isAtFullStrength() ? "" : "not at full strength: " + mLastMembership;
    }

    private boolean isAtFullStrength() {
        Set<String> names = new HashSet<>();
        slots(s -> !s.mIsAway).forEach(s -> names.add(s.mInstance.mId.toString()));
        return mControls
                .membership()
                .filter(m -> m.spareVoters(r -> names.contains(r.toString())) == mTolerance)
                .isPresent();
    }

    private Instance anyInstance() {
        return anyOf(mControls.instances());
    }

    private void changeNext() {
        String path = "/service=s" + mSent++;
        Command.NodeChange node = new Command.NodeChange(path, 0, Map.of(), List.of(), false);
        Command change = new Command.ChangeSettings(Instant.EPOCH, path, "operator", List.of(node));
        send(path, change);
    }

    private void send(String path, Command change) {
        boolean[] accepted = new boolean[1];
        Consumer<ControlEffect.Answer> onAnswer =
                a -> {
                    if (a instanceof ControlEffect.AnswerCommand c
                            && c.result().code() == ResultCode.OK
                            && !mAccepted.contains(path)) {
                        mAccepted.add(path);
                        accepted[0] = true;
                    }
                };
        anyInstance().call(call -> new ControlEvent.CommandReceived(call, change), onAnswer);
        mControls.mTime.after(
                RESEND_MILLIS,
                () -> {
                    if (mAccepted.contains(path)) {
                        changeNext();
                    } else {
                        send(path, change);
                    }
                });
    }

    /** Reads from all instances; those that do not lead refuse. */
    private void readNext() {
        List<String> expected = List.copyOf(mAccepted);
        for (Instance m : mControls.instances()) {
            m.call(
                    call -> new ControlEvent.SettingsRequested(call, null, true, 0),
                    a -> checkRead(expected, a));
        }
        mControls.mTime.after(READ_MILLIS, this::readNext);
    }

    private void checkRead(List<String> expected, ControlEffect.Answer answer) {
        if (answer instanceof ControlEffect.AnswerSettings s) {
            Set<String> found =
                    s.nodes().stream().map(n -> n.path().toString()).collect(Collectors.toSet());
            List<String> missing = expected.stream().filter(p -> !found.contains(p)).toList();
            mLastReadSize = found.size();
            if (!missing.isEmpty() && mViolation.isEmpty()) {
                mViolation = "accepted changes are lost: " + missing;
                note(mViolation);
            }
        }
    }

    private void observeNext() {
        String members =
                mControls
                        .leader()
                        .map(m -> "leader " + m.mId + " " + text(m.mStatus.members()))
                        .orElse("no leader");
        if (!members.equals(mLastMembership)) {
            mLastMembership = members;
            note(members);
        }
        mControls.mTime.after(OBSERVE_MILLIS, this::observeNext);
    }

    private static String text(Membership members) {
        return "voters " + members.voters() + " learners " + members.learners();
    }

    /** An instance of the deployment, and those that come in its place. */
    private final class Slot {
        private Instance mInstance;
        private boolean mIsAway;
        private long mLostUntil;

        Slot(Instance instance) {
            mInstance = instance;
        }

        boolean isLost() {
            return now() < mLostUntil;
        }

        void countUntil(long returnedAt) {
            mLostUntil = returnedAt + MAKE_GOOD_MILLIS;
        }

        void lose(Loss loss) {
            mIsAway = true;
            mLostUntil = Long.MAX_VALUE;
            switch (loss) {
                case REPLACED -> replace();
                case WIPED -> wipe(0);
                case WIPED_TWICE -> wipe(1);
                case CUT_OFF -> cutOff(0, 1_000, MAX_CUT_OFF_MILLIS);
                case FLAPPING -> cutOff(between(1, 4), 1_000, 3_000);
                default -> restart();
            }
        }

        private void returned() {
            mIsAway = false;
            countUntil(now());
            note("returned " + this);
        }

        private void replace() {
            mInstance.lose();
            whenPowered(
                    1_000,
                    () -> {
                        mInstance = mControls.add(true);
                        returned();
                    });
        }

        private void wipe(int times) {
            mInstance.wipe();
            whenPowered(
                    between(100, 2_000),
                    () -> {
                        mInstance.start();
                        if (times == 0) {
                            returned();
                        } else {
                            whenPowered(between(50, 1_500), () -> wipe(times - 1));
                        }
                    });
        }

        private void restart() {
            mInstance.stop();
            whenPowered(
                    between(100, 3_000),
                    () -> {
                        mInstance.start();
                        returned();
                    });
        }

        private void cutOff(int times, int minMillis, int maxMillis) {
            mInstance.mCutOff = true;
            mControls.mTime.after(
                    between(minMillis, maxMillis),
                    () -> {
                        mInstance.mCutOff = false;
                        if (times == 0) {
                            returned();
                        } else {
                            mControls.mTime.after(
                                    between(minMillis, maxMillis),
                                    () -> cutOff(times - 1, minMillis, maxMillis));
                        }
                    });
        }

        @Override
        public String toString() {
            return mInstance.mId.toString();
        }
    }
}

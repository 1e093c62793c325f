package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;

/** Drives a sidecar's reducer step by step and collects its effects. */
final class SidecarDriver {
    private final SidecarReducer mSidecar =
            new SidecarReducer(
                    new SidecarIdentity(
                            new BackendRef("engine-1", 1),
                            Requests.SERVICE,
                            "bergen",
                            "vestkyst",
                            "10.0.0.1:1",
                            1));
    private final List<SidecarEffect> mEffects = new ArrayList<>();
    private Instant mNow = Instant.parse("2026-12-02T10:00:00Z");
    private long mStreamCount;

    /** Requests an attempt on a new stream and returns the stream. */
    long requestAttempt(AttemptRequest.Builder request) {
        step(new SidecarEvent.AttemptRequested(++mStreamCount, request.build()));
        return mStreamCount;
    }

    /** Resumes an attempt on a new stream and returns the stream. */
    long resume(AttemptId id, long offset) {
        step(
                new SidecarEvent.AttemptResumed(
                        ++mStreamCount, id, new BackendRef("engine-1", 1), offset));
        return mStreamCount;
    }

    void step(SidecarEvent event) {
        mSidecar.step(mNow, event, mEffects::add);
    }

    /** Advances the time and sends one tick. */
    void advance(Duration time) {
        mNow = mNow.plus(time);
        step(new SidecarEvent.Tick());
    }

    void exchange(List<Backend> members, double mean, boolean drain, long fence) {
        exchange(members, mean, true, drain, fence);
    }

    void exchange(
            List<Backend> members, double mean, boolean confirmed, boolean drain, long fence) {
        step(
                new SidecarEvent.ExchangeAnswered(
                        new MembershipDelta(MembershipCursor.NONE, true, members),
                        List.of(new ServiceLoad(Requests.SERVICE, mean, members.size())),
                        confirmed,
                        drain,
                        fence));
    }

    /** Lets the backend server answer an attempt completely. */
    void answerAttempt(AttemptId id, byte[] body) {
        step(new SidecarEvent.EngineHeadReceived(id, 200, List.of()));
        step(new SidecarEvent.EngineDataReceived(id, body));
        step(new SidecarEvent.EngineFinished(id, Frame.Usage.NONE));
    }

    static Backend member(int number, Backend.State state) {
        return new Backend(
                new BackendRef("engine-" + number, 1),
                Requests.SERVICE,
                "bergen",
                "vestkyst",
                "10.0.0." + number + ":1",
                state,
                1,
                1);
    }

    /** Returns the serving members engine-1 to engine-{@code count}. */
    static List<Backend> members(int count) {
        List<Backend> members = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            members.add(member(i, Backend.State.SERVING));
        }
        return members;
    }

    /** Returns the effects of a kind, and clears all effects collected since the last call. */
    <T extends SidecarEffect> List<T> take(Class<T> kind) {
        List<T> found = mEffects.stream().filter(kind::isInstance).map(kind::cast).toList();
        mEffects.clear();
        return found;
    }

    /** Returns the frames on a stream, and clears all effects collected since the last call. */
    List<Frame> takeFrames(long stream) {
        return take(SidecarEffect.SendFrame.class).stream()
                .filter(f -> f.stream() == stream)
                .map(f -> f.frame().frame())
                .toList();
    }

    /** Returns the last frame on a stream, and clears all effects collected since the last call. */
    Frame takeLastFrame(long stream) {
        List<Frame> frames = takeFrames(stream);
        return frames.get(frames.size() - 1);
    }
}

package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.routing.RoutedRequestDriver.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;

/** Tests that a backend server which said in an answer that it leaves gets no new request. */
class LeavingServerTest {
    private static final String LEAVING = "s0";
    private static final RetryLimits LIMITS =
            new RetryLimits(0.2, 64, Duration.ofSeconds(10), 1, 1);

    private final List<BeginCall> mCalls = new ArrayList<>();
    private final RoutedRequestDriver mRouter =
            new RoutedRequestDriver(
                    new RouterConfig("r", 1, 1, Duration.ofSeconds(1), 16, LIMITS), mCalls::add);
    private long mLastCaller;

    private void receive(String control, boolean full, Backend... backends) {
        mRouter.receive(new MembershipCursor(control, 1, 1), full, 1, List.of(backends));
    }

    private void receiveAll(String control) {
        receive(control, true, backend("s0", 0, 1), backend("s1", 0, 1), backend("s2", 0, 1));
    }

    private void sayLeaving(long incarnation) {
        BackendRef server = new BackendRef(LEAVING, incarnation);
        mRouter.step(new DirectEvent.ServerNoticed(server, new ServerNotice(Duration.ZERO, true)));
    }

    /** Returns how many of 100 requests, which are answered at once, reach the server. */
    private long requestsToLeavingServer() {
        mCalls.clear();
        for (int i = 0; i < 100; i++) {
            long caller = ++mLastCaller;
            mRouter.step(
                    new DirectEvent.RequestArrived(
                            caller, RoutedRequestDriver.request(caller, true, Prompt.NONE)));
            mRouter.answer(mCalls.get(mCalls.size() - 1), 200, false);
            mRouter.advance(Duration.ofMillis(10));
        }
        return mCalls.stream().filter(c -> c.backend().id().equals(LEAVING)).count();
    }

    /** Guards against requests to a server that leaves, while control does not know of it. */
    @Test
    void serverThatSaidItLeavesGetsNoNewRequest() {
        receiveAll("c");
        assertThat(requestsToLeavingServer()).isPositive();
        sayLeaving(0);
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against control's word, seconds old, that undoes what the server said since. */
    @Test
    void laterAnnouncementDoesNotMakeALeavingServerServe() {
        receiveAll("c");
        sayLeaving(0);
        receive("c", false, backend(LEAVING, 0, 2));
        assertThat(requestsToLeavingServer()).isZero();
        receiveAll("other");
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against a server that is forgotten while control, started anew, does not name it. */
    @Test
    void leavingServerThatControlNamesAgainGetsNoRequest() {
        receiveAll("c");
        sayLeaving(0);
        receive("started anew", true, backend("s1", 0, 1), backend("s2", 0, 1));
        assertThat(requestsToLeavingServer()).isZero();
        mRouter.advance(Duration.ofSeconds(20));
        receive("c", false, backend(LEAVING, 0, 3));
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against a word that is dropped since control has not named the server yet. */
    @Test
    void serverThatControlNamesAfterItsWordGetsNoRequest() {
        receive("c", true, backend("s1", 0, 1), backend("s2", 0, 1));
        sayLeaving(0);
        receive("c", false, backend(LEAVING, 0, 1));
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against a server started anew that never gets a request. */
    @Test
    void serverStartedAnewGetsRequests() {
        receiveAll("c");
        sayLeaving(0);
        receive("c", false, backend(LEAVING, 1, 1));
        assertThat(requestsToLeavingServer()).isPositive();
        sayLeaving(0);
        assertThat(requestsToLeavingServer()).isPositive();
    }
}

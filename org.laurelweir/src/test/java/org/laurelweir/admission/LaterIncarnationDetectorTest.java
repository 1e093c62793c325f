package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.MembershipListener;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.membership.SidecarReport;

/**
 * A sidecar that starts with a lower incarnation than its previous run, against the real membership
 * of a control instance.
 */
class LaterIncarnationDetectorTest {
    private static final long EARLIER_INCARNATION = 9;
    private static final long INCARNATION_AFTER_CLOCK_STEP = 5;

    private final MembershipListener mNoListener = (b, reason, own) -> {};
    private final SharedMembership mControl =
            new SharedMembership(MembershipConfig.builder("c1", 1).build(), List.of(), mNoListener);
    private Instant mNow = Instant.parse("2026-12-02T10:00:00Z");
    private SidecarReducer mSidecar;

    private static SidecarIdentity identity(long incarnation) {
        BackendRef ref = new BackendRef("engine-1", incarnation);
        return new SidecarIdentity(ref, Requests.SERVICE, "bergen", "vestkyst", "10.0.0.1:1", 1);
    }

    private void announceEarlierRun(Backend.State state) {
        mControl.receiveReport(
                mNow,
                new SidecarReport(identity(EARLIER_INCARNATION).announcement(state, 1), 0, 0, 0));
    }

    private List<SidecarEffect> step(SidecarEvent event) {
        List<SidecarEffect> effects = new ArrayList<>();
        mSidecar.step(mNow, event, effects::add);
        return effects;
    }

    /**
     * Starts a sidecar and lets it exchange with control. It continues as a later incarnation if
     * its reducer asks for that.
     */
    private void startAndExchange(long incarnation) {
        mSidecar = new SidecarReducer(identity(incarnation));
        for (int i = 0; i < 4; i++) {
            mNow = mNow.plus(Announcer.INTERVAL);
            mControl.tick(mNow);
            step(new SidecarEvent.Tick()).forEach(this::exchange);
        }
    }

    private void exchange(SidecarEffect effect) {
        if (!(effect instanceof SidecarEffect.SendExchange e)) {
            return;
        }
        mControl.receiveReport(mNow, e.report());
        step(exchangeAnswer(mControl.deltaSince(e.cursor(), Requests.SERVICE)))
                .forEach(this::takeOver);
    }

    private void takeOver(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.Superseded s && s.idle()) {
            mSidecar = new SidecarReducer(identity(s.incarnation() + 1));
        }
    }

    private static SidecarEvent exchangeAnswer(MembershipDelta delta) {
        return new SidecarEvent.ExchangeAnswered(delta, List.of(), true, false, 0);
    }

    private Backend listedBackend() {
        return mControl.backends().iterator().next();
    }

    // The sidecar announces its departure and stops. The machine's clock is set back before the
    // sidecar starts again, so its announcements look older than the departure. Without a later
    // incarnation control would list it as departed, and it would get no request, for as long as
    // control remembers departures.
    @Test
    void restartAfterDepartureIsListedAsServing() {
        announceEarlierRun(Backend.State.SERVING);
        announceEarlierRun(Backend.State.LEFT);
        startAndExchange(INCARNATION_AFTER_CLOCK_STEP);
        assertThat(listedBackend().state()).isEqualTo(Backend.State.SERVING);
        assertThat(listedBackend().ref().incarnation()).isEqualTo(EARLIER_INCARNATION + 1);
    }

    // The sidecar crashes, and control has not noticed. After the clock is set back, routers still
    // address the crashed run, and the new run would refuse everything they send.
    @Test
    void restartAfterCrashIsListedAsServing() {
        announceEarlierRun(Backend.State.SERVING);
        startAndExchange(INCARNATION_AFTER_CLOCK_STEP);
        assertThat(listedBackend().state()).isEqualTo(Backend.State.SERVING);
        assertThat(listedBackend().ref().incarnation()).isEqualTo(EARLIER_INCARNATION + 1);
    }

    // Control reports the earlier run only after an attempt has started here, as an instance does
    // that was cut off. Continuing as a later incarnation would lose the attempt. The sidecar waits
    // until the attempt's output is no longer kept, and then needs no new report.
    @Test
    void reportsLaterIncarnationAgainOnceIdle() {
        mSidecar = new SidecarReducer(identity(INCARNATION_AFTER_CLOCK_STEP));
        step(
                new SidecarEvent.AttemptRequested(
                        1, Requests.request(Requests.id(1), identity(5).ref()).build()));
        Backend earlierRun = identity(EARLIER_INCARNATION).announcement(Backend.State.LEFT, 1);
        MembershipCursor cursor = new MembershipCursor("c1", 1, 1);
        SidecarEvent firstAnswer =
                exchangeAnswer(new MembershipDelta(cursor, true, List.of(earlierRun)));
        assertThat(step(firstAnswer))
                .contains(new SidecarEffect.Superseded(EARLIER_INCARNATION, false));

        step(new SidecarEvent.EngineFailed(Requests.id(1), true, "gone"));
        mNow = mNow.plus(SidecarSettings.DEFAULT.output().keepTime().multipliedBy(2));
        step(new SidecarEvent.Tick());
        SidecarEvent nothingNew = exchangeAnswer(new MembershipDelta(cursor, false, List.of()));
        assertThat(step(nothingNew))
                .contains(new SidecarEffect.Superseded(EARLIER_INCARNATION, true));
    }

    // An answer to an exchange of the previous incarnation is still under way when a new
    // incarnation starts. It holds only the changes that the previous one lacked. With its cursor,
    // control would never send the other backend servers.
    @Test
    void deltaForEarlierRunIsIgnored() {
        mSidecar = new SidecarReducer(identity(EARLIER_INCARNATION));
        MembershipCursor earlierCursor = new MembershipCursor("c1", 1, 7);
        step(exchangeAnswer(new MembershipDelta(earlierCursor, false, List.of())));
        mNow = mNow.plus(Announcer.INTERVAL);
        assertThat(step(new SidecarEvent.Tick()))
                .filteredOn(SidecarEffect.SendExchange.class::isInstance)
                .extracting(e -> ((SidecarEffect.SendExchange) e).cursor())
                .containsExactly(MembershipCursor.NONE);
    }
}

package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectDriver.GENUINE;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.BeginCall;

/**
 * Load pattern: many callers ask about one long document while servers join, leave and fill up. The
 * document lies at one engine; each other one that gets a request about it would read it again.
 */
class PartFetchTest {
    private static final Route STREAM = DirectDriver.route(false, true, false);
    private static final int DOCUMENTS = 60;

    private final DirectDriver mDriver = new DirectDriver(4);
    private long mCallers;

    /** A prompt of a long document that many share, and a few words of its own. */
    private static Prompt about(long document, int tokens) {
        return new Prompt(
                List.of(new Prompt.Part(document, tokens), new Prompt.Part(1_000_000, 10)),
                tokens + 10,
                5);
    }

    private BeginCall ask(long document) {
        mDriver.arrive(++mCallers, STREAM, about(document, 9000));
        return mDriver.call();
    }

    private BeginCall askAndAnswer(long document) {
        BeginCall call = ask(document);
        mDriver.answer(call.call(), 200, GENUINE);
        mDriver.give(new DirectEvent.Finished(call.call()));
        return call;
    }

    @Test
    void oneThatTakesOverFromAFullServerFetches() {
        BeginCall home = askAndAnswer(7);
        List<BeginCall> elsewhere = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            BeginCall call = ask(7);
            mDriver.answer(call.call(), 200, GENUINE);
            if (!call.backend().equals(home.backend())) {
                elsewhere.add(call);
            }
        }
        assertThat(elsewhere).isNotEmpty();
        assertThat(elsewhere.get(0).fetchFrom()).isEqualTo(home.address());
        assertThat(home.fetchFrom()).isNotEqualTo(home.address());
    }

    @Test
    void aServerThatJoinsFetchesWhatItRanksFirstFor() {
        // A fifth server joins an even load and ranks first for a fifth of the documents. Without a
        // fetch it reads each of them anew, while its other requests wait.
        Map<Long, String> holders = new HashMap<>();
        for (long d = 0; d < DOCUMENTS; d++) {
            holders.put(d, askAndAnswer(d).address());
        }
        mDriver.join("joined");
        int moved = 0;
        for (long d = 0; d < DOCUMENTS; d++) {
            BeginCall call = askAndAnswer(d);
            boolean isMoved = call.backend().id().equals("joined");
            moved += isMoved ? 1 : 0;
            assertThat(call.fetchFrom()).isEqualTo(isMoved ? holders.get(d) : "");
        }
        assertThat(moved).isBetween(DOCUMENTS / 10, DOCUMENTS / 2);
    }

    @Test
    void whatALeavingServerHoldsIsFetchedByRoutersThatNeverAskedForIt() {
        // A server is replaced. This router has not seen its documents, each of which another
        // router asks for now and then. They are fetched while the server is still there.
        DirectDriver other = new DirectDriver(4);
        Map<Long, BeginCall> homes = new HashMap<>();
        for (long d = 0; d < DOCUMENTS; d++) {
            other.arrive(d, STREAM, about(d, 9000));
            homes.put(d, other.call());
            other.answer(other.call().call(), 200, GENUINE);
            other.give(new DirectEvent.Finished(other.call().call()));
        }
        mDriver.drain("s1");
        int moved = 0;
        for (long d = 0; d < DOCUMENTS; d++) {
            if (homes.get(d).backend().id().equals("s1")) {
                moved++;
                assertThat(askAndAnswer(d).fetchFrom()).isEqualTo(homes.get(d).address());
            }
        }
        assertThat(moved).isPositive();
    }

    @Test
    void aServerThatFailedOrLeftIsNotAsked() {
        // The holder goes dark. A fetch from it would hold up the request that was moved away.
        BeginCall home = askAndAnswer(7);
        BeginCall failing = ask(7);
        mDriver.give(
                new DirectEvent.Failed(
                        failing.call(), DirectEvent.Failure.NOT_SENT, "can't connect"));
        BeginCall moved = mDriver.call();
        assertThat(moved.backend()).isNotEqualTo(home.backend());
        assertThat(moved.fetchFrom()).isNotEqualTo(home.address());
        mDriver.leave(home.backend().id());
        assertThat(ask(7).fetchFrom()).isNotEqualTo(home.address());
    }

    @Test
    void aServerThatStartedAnewHoldsNothing() {
        BeginCall home = askAndAnswer(7);
        mDriver.restart(home.backend().id());
        for (int i = 0; i < 8; i++) {
            BeginCall call = ask(7);
            boolean again = call.backend().id().equals(home.backend().id());
            assertThat(again && call.fetchFrom().isEmpty()).isFalse();
        }
    }

    @Test
    void shortPartsAreReadWhereTheyAreNeeded() {
        for (int i = 0; i < 16; i++) {
            mDriver.arrive(++mCallers, STREAM, about(7, 120));
            assertThat(mDriver.call().fetchFrom()).isEmpty();
        }
    }
}

package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEffect.BeginCall;

/**
 * Tests from where a server fetches the shared part of a prompt. Many callers send prompts about
 * one long document while servers join, leave and fill up. One engine has the document in its
 * cache; without a fetch, every other engine would have to read it again.
 */
class PartFetchTest {
    private static final Route STREAM = DirectRoutingDriver.route(false, true, false);
    private static final int DOCUMENT_COUNT = 60;

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(4);
    private long mLastCaller;

    /** Returns a prompt with a shared part, the document, and a short part of its own. */
    private static Prompt promptAbout(long document, int tokens) {
        return new Prompt(
                List.of(new Prompt.Part(document, tokens), new Prompt.Part(1_000_000, 10)),
                tokens + 10,
                5);
    }

    private BeginCall send(long document) {
        mDriver.arrive(++mLastCaller, STREAM, promptAbout(document, 9000));
        return mDriver.lastCall();
    }

    private BeginCall sendAndAnswer(long document) {
        BeginCall call = send(document);
        mDriver.answer(call.call(), 200, GENUINE);
        mDriver.step(new DirectEvent.Finished(call.call()));
        return call;
    }

    private BeginCall sendContended(long document) {
        mDriver.arriveContended(++mLastCaller, STREAM, promptAbout(document, 9000));
        BeginCall call = mDriver.lastCall();
        mDriver.answer(call.call(), 200, GENUINE);
        mDriver.step(new DirectEvent.Finished(call.call()));
        return call;
    }

    @Test
    void serverThatRelievesAFullOneFetchesFromIt() {
        BeginCall home = sendAndAnswer(7);
        List<BeginCall> spilled = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            BeginCall call = send(7);
            mDriver.answer(call.call(), 200, GENUINE);
            if (!call.backend().equals(home.backend())) {
                spilled.add(call);
            }
        }
        assertThat(spilled).isNotEmpty();
        assertThat(spilled.get(0).fetchFrom()).isEqualTo(home.address());
        assertThat(home.fetchFrom()).isNotEqualTo(home.address());
    }

    @Test
    void newServerFetchesThePartsItRanksFirstFor() {
        // A fifth server joins an even load and ranks first for a fifth of the documents. Without
        // fetches it would read each of them again, while its other requests wait.
        Map<Long, String> holders = new HashMap<>();
        for (long d = 0; d < DOCUMENT_COUNT; d++) {
            holders.put(d, sendAndAnswer(d).address());
        }
        mDriver.join("joined");
        int moved = 0;
        for (long d = 0; d < DOCUMENT_COUNT; d++) {
            BeginCall call = sendAndAnswer(d);
            boolean isMoved = call.backend().id().equals("joined");
            moved += isMoved ? 1 : 0;
            assertThat(call.fetchFrom()).isEqualTo(isMoved ? holders.get(d) : "");
        }
        assertThat(moved).isBetween(DOCUMENT_COUNT / 10, DOCUMENT_COUNT / 2);
    }

    @Test
    void partsOfADrainingServerAreFetchedByRoutersThatNeverUsedThem() {
        // A server is drained before it is replaced. This router has never sent it the documents,
        // but another router has. They have to be fetched while the server is still there.
        DirectRoutingDriver other = new DirectRoutingDriver(4);
        Map<Long, BeginCall> homes = new HashMap<>();
        for (long d = 0; d < DOCUMENT_COUNT; d++) {
            other.arrive(d, STREAM, promptAbout(d, 9000));
            homes.put(d, other.lastCall());
            other.answer(other.lastCall().call(), 200, GENUINE);
            other.step(new DirectEvent.Finished(other.lastCall().call()));
        }
        mDriver.drain("s1");
        int moved = 0;
        for (long d = 0; d < DOCUMENT_COUNT; d++) {
            if (homes.get(d).backend().id().equals("s1")) {
                moved++;
                assertThat(sendAndAnswer(d).fetchFrom()).isEqualTo(homes.get(d).address());
            }
        }
        assertThat(moved).isPositive();
    }

    // Guards against a part that all prompts begin with, such as instructions, being read by each
    // engine anew: a settled home is sent to a server that holds it, and not to one by rank.
    @Test
    void newDocumentFetchesItsFirstPartFromAServerThatHoldsIt() {
        Prompt.Part instructions = new Prompt.Part(42, 2500);
        BeginCall first = null;
        for (long d = 0; d < DOCUMENT_COUNT; d++) {
            Prompt.Part document = new Prompt.Part(1000 + d, 6000);
            Prompt.Part own = new Prompt.Part(5000 + d, 10);
            Prompt prompt = new Prompt(List.of(instructions, document, own), 8510, 5);
            mDriver.arriveContended(++mLastCaller, STREAM, prompt);
            BeginCall call = mDriver.lastCall();
            if (first == null) {
                first = call;
                mDriver.answer(call.call(), 200, GENUINE);
                mDriver.step(new DirectEvent.Finished(call.call()));
            } else {
                boolean isHolder = call.backend().equals(first.backend());
                assertThat(isHolder || call.fetchFrom().equals(first.address())).isTrue();
                mDriver.step(new DirectEvent.CallerGone(mLastCaller));
            }
        }
    }

    // Guards against prompts that are read again, since each server that relieves the home asks one
    // that ranked first until its data centre was emptied, and that holds nothing any more.
    @Test
    void serverThatWasEmptiedLongAgoIsNotAskedInPlaceOfTheHome() {
        sendContended(1);
        mDriver.drain("s1");
        sendContended(1);
        mDriver.advance(Duration.ofSeconds(11));
        DirectRoutingDriver other = new DirectRoutingDriver(4);
        other.drain("s1");
        int asked = 0;
        for (long d = 100; d < 100 + DOCUMENT_COUNT; d++) {
            other.arrive(d, STREAM, promptAbout(d, 9000));
            BeginCall call = sendContended(d);
            asked += call.fetchFrom().isEmpty() ? 0 : 1;
            assertThat(call.fetchFrom()).isNotEqualTo("s1:80");
            if (!call.backend().equals(other.lastCall().backend())) {
                assertThat(call.fetchFrom()).isEqualTo(other.lastCall().address());
            }
            other.answer(other.lastCall().call(), 200, GENUINE);
            other.step(new DirectEvent.Finished(other.lastCall().call()));
        }
        assertThat(asked).isPositive();
    }

    @Test
    void failedOrDepartedServerIsNoFetchSource() {
        // The holder becomes unreachable. A fetch from it would delay the retried request.
        BeginCall home = sendAndAnswer(7);
        BeginCall failing = send(7);
        mDriver.step(
                new DirectEvent.Failed(
                        failing.call(), DirectEvent.Failure.NOT_SENT, "can't connect"));
        BeginCall moved = mDriver.lastCall();
        assertThat(moved.backend()).isNotEqualTo(home.backend());
        assertThat(moved.fetchFrom()).isNotEqualTo(home.address());
        mDriver.leave(home.backend().id());
        assertThat(send(7).fetchFrom()).isNotEqualTo(home.address());
    }

    @Test
    void restartedServerHoldsNoParts() {
        BeginCall home = sendAndAnswer(7);
        mDriver.restart(home.backend().id());
        for (int i = 0; i < 8; i++) {
            BeginCall call = send(7);
            boolean sentToHome = call.backend().id().equals(home.backend().id());
            assertThat(sentToHome && call.fetchFrom().isEmpty()).isFalse();
        }
    }

    @Test
    void shortPartsAreNotFetched() {
        for (int i = 0; i < 16; i++) {
            mDriver.arrive(++mLastCaller, STREAM, promptAbout(7, 120));
            assertThat(mDriver.lastCall().fetchFrom()).isEmpty();
        }
    }

    /** Guards against a server that has to send parts of prompts within its backoff. */
    @Test
    void nothingIsFetchedFromAServerInBackoff() {
        BeginCall home = sendAndAnswer(7);
        mDriver.step(
                new DirectEvent.ServerNoticed(
                        home.backend(), new ServerNotice(Duration.ofSeconds(3), false)));
        BeginCall next = sendAndAnswer(7);
        assertThat(next.backend()).isNotEqualTo(home.backend());
        assertThat(next.fetchFrom()).isNotEqualTo(home.address());
    }
}

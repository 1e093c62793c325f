package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Tests that announcements survive encoding and decoding. */
class MembershipCodecTest {
    // Guards against a field of an announcement that other processes never learn.
    @Test
    void everyFieldOfABackendServerIsTransmitted() {
        BackendRef ref = new BackendRef("w", 7);
        Backend b =
                new Backend(ref, "s", "dc", "rg", "1.2.3.4:80", Backend.State.DRAINING, 6, 3)
                        .withSlowStart(true)
                        .withVersion("v1.2");
        assertThat(MembershipCodec.toCore(MembershipCodec.toWire(b))).isEqualTo(b);
    }
}

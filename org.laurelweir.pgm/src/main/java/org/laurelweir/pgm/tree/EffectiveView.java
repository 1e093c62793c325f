package org.laurelweir.pgm.tree;

import java.util.List;
import org.laurelweir.wire.v1.ReadSettingsReply;

/** What holds for a path's levels. */
public record EffectiveView(String path, long position) {
    public static EffectiveView of(ReadSettingsReply reply, String path) {
        return new EffectiveView(path, reply.getPosition());
    }

    public List<String> lines() {
        return List.of();
    }
}

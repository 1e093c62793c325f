package org.laurelweir.attempt;

import org.laurelweir.lib.AttemptId;

/** A frame with the attempt that it belongs to and the sidecar's load as it was sent. */
public record AttemptFrame(AttemptId attempt, LoadHint load, Frame frame) {}

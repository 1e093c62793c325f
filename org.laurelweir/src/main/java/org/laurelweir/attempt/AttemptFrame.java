package org.laurelweir.attempt;

import org.laurelweir.lib.AttemptId;

/** A frame with the id of its attempt and the sidecar's load at the time of sending. */
public record AttemptFrame(AttemptId attempt, LoadHint load, Frame frame) {}

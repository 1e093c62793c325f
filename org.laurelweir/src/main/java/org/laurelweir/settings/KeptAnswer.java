package org.laurelweir.settings;

import java.time.Instant;

/**
 * The first answer to a change, kept for those who send it again.
 *
 * @param changeId the change's id
 * @param at when the leader took the change
 * @param digest of what the change asked for, to know another change under the same id
 * @param answer the answer
 */
public record KeptAnswer(String changeId, Instant at, String digest, SettingsAnswer answer) {}

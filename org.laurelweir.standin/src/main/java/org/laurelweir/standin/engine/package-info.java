/**
 * A small model engine: a pure model of batching and caching, and an HTTP server for it.
 *
 * <ul>
 *   <li>{@code POST /v1/chat/completions}: an answer, as one body or streamed. Waiting requests are
 *       ordered by priority, highest first: the field {@code priority}, or the header {@code
 *       Priority} or {@code X-Priority}. With {@code X-Engine-Request}, the engine's id from an
 *       earlier answer, and {@code X-Resume-Offset}, in output tokens, it resumes that answer.
 *   <li>{@code GET /v1/models}: the models and adapters that are loaded.
 *   <li>{@code GET /engine/load}: the load, measured a set time ago.
 *   <li>{@code GET /engine/cache-events?after=N}: blocks that were stored and evicted, delayed and
 *       with gaps.
 *   <li>{@code GET} and {@code POST /engine/orders}: reads what is loaded; sends an order to change
 *       it.
 *   <li>{@code GET /engine/executions}: the runs.
 *   <li>{@code GET}, {@code POST} and {@code DELETE /engine/faults}: the injected faults; see
 *       {@link org.laurelweir.standin.Fault.Order}.
 * </ul>
 */
package org.laurelweir.standin.engine;

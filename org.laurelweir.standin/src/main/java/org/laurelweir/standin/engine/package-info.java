/**
 * A small model engine: a pure model of batching and caching, and the HTTP server around it.
 *
 * <ul>
 *   <li>{@code POST /v1/chat/completions}: an answer, plain or streamed. The field {@code
 *       priority}, or a header of that name or {@code X-Priority}, orders those that wait: higher
 *       first. With {@code X-Engine-Request}, the engine's id from an earlier answer, and {@code
 *       X-Resume-Offset}, in output tokens, it goes on with that answer.
 *   <li>{@code GET /v1/models}: the models and adapters that are loaded.
 *   <li>{@code GET /engine/load}: the load, measured a set time ago.
 *   <li>{@code GET /engine/cache-events?after=N}: blocks that came and went, late and with gaps.
 *   <li>{@code GET} and {@code POST /engine/orders}: what is loaded; an order to change it.
 *   <li>{@code GET /engine/executions}: what ran.
 *   <li>{@code GET}, {@code POST} and {@code DELETE /engine/faults}: faults to show; see {@link
 *       org.laurelweir.standin.Fault.Order}.
 * </ul>
 */
package org.laurelweir.standin.engine;

/** The JSON shapes of chat completions, and the answer text that is derived from a prompt. */
package org.laurelweir.standin.chat;

/** The chat-completions JSON shapes and the answer text that follows from a prompt. */
package org.laurelweir.standin.chat;

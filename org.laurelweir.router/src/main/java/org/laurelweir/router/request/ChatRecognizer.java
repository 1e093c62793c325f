package org.laurelweir.router.request;

import com.fasterxml.jackson.databind.JsonNode;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.settings.EffectiveSettings;
import org.laurelweir.settings.SettingKeys;

/**
 * Identifies the chat that a request belongs to: by the header or field that the settings name, or
 * else by the first messages of the chat, which every later turn repeats.
 */
final class ChatRecognizer {
    private static final char SEPARATOR = '\u0001';

    private ChatRecognizer() {}

    /** Returns the chat's key. It is never 0, which stands for no chat. */
    static long keyOf(String account, HttpCall call, ChatBody body, EffectiveSettings settings) {
        String name = call.header(settings.get(SettingKeys.CHAT_HEADER));
        if (name.isEmpty()) {
            name = body.text(settings.get(SettingKeys.CHAT_FIELD));
        }
        if (name.isEmpty()) {
            int count = settings.get(SettingKeys.CHAT_PREFIX_MESSAGES);
            name = SEPARATOR + leadingMessages(body.messages(), count);
        }
        long hash = ChatKey.of(account, name).hash();
        return hash == 0 ? 1 : hash;
    }

    /** Returns whether the messages contain the answer of an earlier turn. */
    static boolean isReturning(ChatBody body) {
        for (JsonNode m : body.messages()) {
            if (isAnswer(m)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the messages before the first answer, at most {@code count} of them. It returns more
     * if the first user message comes later, because many chats share the same system prompts.
     */
    private static String leadingMessages(JsonNode messages, int count) {
        StringBuilder leading = new StringBuilder();
        boolean userSeen = false;
        int taken = 0;
        for (JsonNode m : messages) {
            if (isAnswer(m) || (taken >= count && userSeen)) {
                break;
            }
            taken++;
            userSeen |= m.path("role").textValue().equals("user");
            leading.append(m.path("role").textValue()).append(SEPARATOR);
            leading.append(m.path("content")).append(SEPARATOR);
        }
        return leading.toString();
    }

    private static boolean isAnswer(JsonNode message) {
        String role = message.path("role").textValue();
        return role.equals("assistant") || role.equals("tool") || role.equals("function");
    }
}

package org.laurelweir.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.laurelweir.standin.chat.ChatMessage;
import org.laurelweir.standin.chat.ChatRequest;
import org.laurelweir.standin.chat.ChatRequest.StreamOptions;
import org.laurelweir.standin.chat.Prompt;

/** The messages of one chat, all derived from the run's seed and the chat's number. */
final class ChatScript {
    private static final long SEED_STEP = 0x9E3779B97F4A7C15L;
    private static final int QUESTION_WORDS = 24;
    private static final String SYSTEM = "You help the crew and the guests of a sailing charter.";
    private static final String[] WORDS = {
        "berth",
        "tide",
        "skipper",
        "guest",
        "booking",
        "mooring",
        "weather",
        "quay",
        "sail",
        "provisions",
        "fuel",
        "route",
        "fjord",
        "deposit",
        "licence",
        "harbour",
        "arrival",
        "engine",
        "anchor",
        "cabin",
        "itinerary",
        "insurance",
        "crew",
        "Bergen",
        "Stord",
        "Floro"
    };

    private final LoadPlan.Chats mPlan;
    private final Random mRandom;
    private final String mName;
    private final String mKey;
    private final List<ChatMessage> mMessages = new ArrayList<>();
    private int mTurn;

    /** Creates the script of a chat at its start. */
    ChatScript(LoadPlan plan, int number) {
        mPlan = plan.chats();
        mRandom = new Random(plan.seed() + number * SEED_STEP);
        mName = "chat-" + Long.toHexString(plan.seed()) + "-" + number;
        mKey = plan.accounts().draw(mRandom);
        mMessages.add(ChatMessage.of("system", SYSTEM));
        if (mRandom.nextDouble() < mPlan.dossierShare()) {
            mMessages.add(ChatMessage.of("user", dossier()));
        }
    }

    /** Returns the chat's name, which is unique within the run. */
    String name() {
        return mName;
    }

    /** Returns the bearer key of the chat's client account. */
    String key() {
        return mKey;
    }

    /** Returns the number of the latest turn, from 1; 0 before the first. */
    int turn() {
        return mTurn;
    }

    boolean hasMoreTurns() {
        return mTurn < mPlan.turns();
    }

    /** Starts the next turn and returns its request. */
    ChatRequest nextRequest() {
        mTurn++;
        String marker = " [[" + mName + "-" + mTurn + "]]";
        mMessages.add(ChatMessage.of("user", words(QUESTION_WORDS) + marker));
        boolean stream = mRandom.nextDouble() < mPlan.streamShare();
        return new ChatRequest(
                mPlan.model(),
                List.copyOf(mMessages),
                stream,
                stream ? new StreamOptions(true) : null,
                mPlan.maxTokens(),
                null,
                null);
    }

    /** Returns the prompt of the latest request. */
    Prompt prompt() {
        return Prompt.of(mMessages);
    }

    /** Adds an answer to the history. */
    void addAnswer(String answer) {
        mMessages.add(ChatMessage.of("assistant", answer));
    }

    private String dossier() {
        StringBuilder all = new StringBuilder("Dossier of " + mName + ":");
        while (all.length() < mPlan.dossierBytes()) {
            all.append(' ').append(words(1)).append(' ').append(mRandom.nextInt(1000));
        }
        return all.toString();
    }

    private String words(int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(i == 0 ? "" : " ").append(WORDS[mRandom.nextInt(WORDS.length)]);
        }
        return all.toString();
    }
}

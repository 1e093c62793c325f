package org.laurelweir.router.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.http.HopHeaders;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.routing.CallerRequest;
import org.laurelweir.settings.EffectiveSettings;
import org.laurelweir.settings.KeyDigest;
import org.laurelweir.settings.Policies;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsContext;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsTree;

/** Resolves callers' requests against the settings in force. Thread-safe. */
public final class RequestResolver {
    /** Where chats are completed, as the callers' tools expect it. */
    static final String CHAT_PATH = "/v1/chat/completions";

    private static final String BEARER = "bearer ";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String DEADLINE_HEADER = "X-Timeout-Ms";
    private static final String PRIORITY_HEADER = "X-Priority";
    private static final String ENGINE_PRIORITY = "Priority";
    private static final int MAX_KEY_LENGTH = 255;
    private static final int MAX_PRIORITY = 9;

    private final SettingsLookup mSettings;

    /**
     * Creates a resolver.
     *
     * @param settings those in force
     */
    public RequestResolver(SettingsLookup settings) {
        mSettings = settings;
    }

    /**
     * Returns the client account that a call's bearer key names.
     *
     * @throws LaurelweirException UNAUTHENTICATED where it names none
     */
    public String accountOf(HttpCall call) {
        String value = call.header("Authorization");
        if (!value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            throw new LaurelweirException(ResultCode.UNAUTHENTICATED, "a bearer key is needed");
        }
        String digest = KeyDigest.of(value.substring(BEARER.length()).strip());
        return mSettings
                .tree()
                .accountOfKey(digest)
                .orElseThrow(
                        () ->
                                new LaurelweirException(
                                        ResultCode.UNAUTHENTICATED, "the bearer key is unknown"));
    }

    /**
     * Resolves a call.
     *
     * @param call read whole
     * @return the request to route
     * @throws LaurelweirException with a code of the 1000s where the caller has to change it
     */
    public CallerRequest resolve(HttpCall call) {
        String account = accountOf(call);
        return call.path().equals(CHAT_PATH) ? chat(account, call) : plain(account, call);
    }

    private CallerRequest chat(String account, HttpCall call) {
        if (!call.method().equals("POST")) {
            throw new LaurelweirException(
                    ResultCode.METHOD_NOT_ALLOWED, "chats are completed by POST");
        }
        ChatBody body = ChatBody.parse(call.body());
        SettingsTree tree = mSettings.tree();
        String service =
                tree.serviceOfModel(body.model()).orElseThrow(() -> unknownModel(body.model()));
        EffectiveSettings settings = settings(service, account, call, body.model());
        AttemptRequest.Cost cost =
                new AttemptRequest.Cost(
                        body.promptTokens(),
                        body.outputTokens(settings.get(SettingKeys.SERVICE_OUTPUT_TOKENS)));
        long chat = ChatRecognizer.keyOf(account, call, body, settings);
        boolean returning = ChatRecognizer.isReturning(body);
        boolean idempotent = mayBeRepeated(call, settings);
        Origin origin =
                new Origin(account, service, chat, returning, body.isStreamed(), idempotent);
        return request(origin, call, cost, settings);
    }

    /** Completing a chat changes nothing, so unlike other POSTs it may be repeated by default. */
    private static boolean mayBeRepeated(HttpCall call, EffectiveSettings settings) {
        return settings.get(SettingKeys.SERVICE_NON_IDEMPOTENT_CALLS).stream()
                .noneMatch(p -> p.matches(call.method(), call.path()));
    }

    private CallerRequest plain(String account, HttpCall call) {
        String service =
                mSettings
                        .tree()
                        .serviceOfPath(call.path())
                        .orElseThrow(() -> unknownService(call.path()));
        EffectiveSettings settings = settings(service, account, call, null);
        // A plain service spends no tokens; its calls count as one unit of work each.
        AttemptRequest.Cost cost = new AttemptRequest.Cost(0, 1);
        boolean idempotent = settings.isIdempotent(call.method(), call.path());
        Origin origin = new Origin(account, service, 0, false, false, idempotent);
        return request(origin, call, cost, settings);
    }

    private static LaurelweirException unknownModel(String model) {
        return new LaurelweirException(
                ResultCode.UNKNOWN_MODEL, "no service answers for the model " + model);
    }

    private static LaurelweirException unknownService(String path) {
        return new LaurelweirException(
                ResultCode.UNKNOWN_SERVICE, "no service is reached under " + path);
    }

    private EffectiveSettings settings(
            String service, String account, HttpCall call, String model) {
        return mSettings
                .effective(service, account)
                .forCall(new SettingsContext.Call(call.method(), call.path(), model));
    }

    /** Who asks what of whom. */
    private record Origin(
            String account,
            String service,
            long chat,
            boolean returning,
            boolean streamed,
            boolean idempotent) {}

    private static CallerRequest request(
            Origin o, HttpCall call, AttemptRequest.Cost cost, EffectiveSettings settings) {
        int priority = priority(call, settings);
        List<Header> headers = HopHeaders.passedOn(call);
        AttemptRequest.Call passedOn =
                new AttemptRequest.Call(
                        call.method(),
                        call.uri(),
                        o.chat() == 0 ? headers : forEngine(headers, priority),
                        call.body(),
                        o.streamed());
        return new CallerRequest(
                o.account(),
                o.service(),
                o.chat(),
                o.returning(),
                passedOn,
                o.idempotent(),
                idempotencyKey(call),
                deadline(call, settings),
                priority,
                cost,
                Policies.request(settings),
                Policies.outliers(settings));
    }

    /** An engine is told the priority in force; browsers put something else under that name. */
    private static List<Header> forEngine(List<Header> headers, int priority) {
        List<Header> all = new ArrayList<>(headers);
        all.removeIf(h -> h.name().equalsIgnoreCase(ENGINE_PRIORITY));
        all.add(new Header(ENGINE_PRIORITY, Integer.toString(priority)));
        return all;
    }

    private static String idempotencyKey(HttpCall call) {
        String key = call.header(IDEMPOTENCY_KEY).strip();
        if (key.length() > MAX_KEY_LENGTH) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST,
                    IDEMPOTENCY_KEY + " is longer than " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }

    private static Duration deadline(HttpCall call, EffectiveSettings settings) {
        boolean asked = !call.header(DEADLINE_HEADER).isEmpty();
        int millis = asked ? number(call, DEADLINE_HEADER, Integer.MAX_VALUE) : 0;
        return Policies.deadline(settings, asked ? Duration.ofMillis(millis) : null);
    }

    private static int priority(HttpCall call, EffectiveSettings settings) {
        if (call.header(PRIORITY_HEADER).isEmpty()) {
            return settings.get(SettingKeys.PRIORITY_DEFAULT);
        }
        return number(call, PRIORITY_HEADER, MAX_PRIORITY);
    }

    private static int number(HttpCall call, String header, int max) {
        try {
            int value = Integer.parseInt(call.header(header).strip());
            if (value >= 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Answered like a number out of range.
        }
        throw new LaurelweirException(
                ResultCode.BAD_REQUEST, header + " is not a whole number from 0 to " + max);
    }
}

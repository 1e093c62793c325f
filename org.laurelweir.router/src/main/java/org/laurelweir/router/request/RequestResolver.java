package org.laurelweir.router.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.http.HopByHopHeaders;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.routing.CallerRequest;
import org.laurelweir.settings.EffectiveSettings;
import org.laurelweir.settings.KeyDigest;
import org.laurelweir.settings.Policies;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsContext;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsTree;

/**
 * Resolves callers' requests to the services that sidecars serve, by the settings in force.
 * Thread-safe.
 */
public final class RequestResolver {
    /** Path of chat completions that chat-completions clients expect. */
    static final String CHAT_PATH = "/v1/chat/completions";

    private static final String BEARER_PREFIX = "bearer ";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String DEADLINE_HEADER = "X-Timeout-Ms";
    private static final String PRIORITY_HEADER = "X-Priority";
    private static final String ENGINE_PRIORITY_HEADER = "Priority";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final int MAX_PRIORITY = 9;

    private final SettingsLookup mSettings;

    /**
     * Creates a resolver.
     *
     * @param settings the settings in force
     */
    public RequestResolver(SettingsLookup settings) {
        mSettings = settings;
    }

    /**
     * Returns the client account of a call's bearer key.
     *
     * @throws LaurelweirException UNAUTHENTICATED if the key is missing or unknown
     */
    public String accountOf(HttpCall call) {
        String value = call.header("Authorization");
        if (!value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            throw new LaurelweirException(ResultCode.UNAUTHENTICATED, "a bearer key is needed");
        }
        String digest = KeyDigest.of(value.substring(BEARER_PREFIX.length()).strip());
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
     * @param call the complete request
     * @return the request to route
     * @throws LaurelweirException with a code from 1000 to 1999 if the caller has to change the
     *     request
     */
    public CallerRequest resolve(HttpCall call) {
        String account = accountOf(call);
        return call.path().equals(CHAT_PATH)
                ? chatRequest(account, call)
                : plainRequest(account, call);
    }

    private CallerRequest chatRequest(String account, HttpCall call) {
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
        boolean idempotent = isIdempotentChat(call, settings);
        RequestTraits traits =
                new RequestTraits(account, service, chat, returning, body.isStreamed(), idempotent);
        return newRequest(traits, call, cost, settings);
    }

    /**
     * Chat completions have no side effects, so unlike other POSTs they may be retried by default.
     */
    private static boolean isIdempotentChat(HttpCall call, EffectiveSettings settings) {
        return settings.get(SettingKeys.SERVICE_NON_IDEMPOTENT_CALLS).stream()
                .noneMatch(p -> p.matches(call.method(), call.path()));
    }

    private CallerRequest plainRequest(String account, HttpCall call) {
        String service =
                mSettings
                        .tree()
                        .serviceOfPath(call.path())
                        .orElseThrow(() -> unknownService(call.path()));
        EffectiveSettings settings = settings(service, account, call, null);
        // A plain service uses no tokens. Each call counts as one unit of work.
        AttemptRequest.Cost cost = new AttemptRequest.Cost(0, 1);
        boolean idempotent = settings.isIdempotent(call.method(), call.path());
        RequestTraits traits = new RequestTraits(account, service, 0, false, false, idempotent);
        return newRequest(traits, call, cost, settings);
    }

    private static LaurelweirException unknownModel(String model) {
        return new LaurelweirException(
                ResultCode.UNKNOWN_MODEL, "no service has the model " + model);
    }

    private static LaurelweirException unknownService(String path) {
        return new LaurelweirException(
                ResultCode.UNKNOWN_SERVICE, "no service has the path " + path);
    }

    private EffectiveSettings settings(
            String service, String account, HttpCall call, String model) {
        return mSettings
                .effective(service, account)
                .forCall(new SettingsContext.Call(call.method(), call.path(), model));
    }

    /**
     * The account, the service and the properties of a request that its path and body determine.
     */
    private record RequestTraits(
            String account,
            String service,
            long chat,
            boolean returning,
            boolean streamed,
            boolean idempotent) {}

    private static CallerRequest newRequest(
            RequestTraits traits,
            HttpCall call,
            AttemptRequest.Cost cost,
            EffectiveSettings settings) {
        int priority = priority(call, settings);
        List<Header> headers = HopByHopHeaders.forwardedHeaders(call);
        AttemptRequest.Call forwarded =
                new AttemptRequest.Call(
                        call.method(),
                        call.uri(),
                        traits.chat() == 0 ? headers : withEnginePriority(headers, priority),
                        call.body(),
                        traits.streamed());
        return new CallerRequest(
                traits.account(),
                traits.service(),
                traits.chat(),
                traits.returning(),
                forwarded,
                traits.idempotent(),
                idempotencyKey(call),
                deadline(call, settings),
                priority,
                cost,
                Policies.requestPolicy(settings),
                Policies.outlierConfig(settings));
    }

    /** Sets the priority in force. Browsers send a header of the same name with another meaning. */
    private static List<Header> withEnginePriority(List<Header> headers, int priority) {
        List<Header> all = new ArrayList<>(headers);
        all.removeIf(h -> h.name().equalsIgnoreCase(ENGINE_PRIORITY_HEADER));
        all.add(new Header(ENGINE_PRIORITY_HEADER, Integer.toString(priority)));
        return all;
    }

    private static String idempotencyKey(HttpCall call) {
        String key = call.header(IDEMPOTENCY_KEY_HEADER).strip();
        if (key.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST,
                    IDEMPOTENCY_KEY_HEADER
                            + " is longer than "
                            + MAX_IDEMPOTENCY_KEY_LENGTH
                            + " characters");
        }
        return key;
    }

    private static Duration deadline(HttpCall call, EffectiveSettings settings) {
        boolean present = !call.header(DEADLINE_HEADER).isEmpty();
        int millis = present ? numberHeader(call, DEADLINE_HEADER, Integer.MAX_VALUE) : 0;
        return Policies.deadline(settings, present ? Duration.ofMillis(millis) : null);
    }

    private static int priority(HttpCall call, EffectiveSettings settings) {
        if (call.header(PRIORITY_HEADER).isEmpty()) {
            return settings.get(SettingKeys.PRIORITY_DEFAULT);
        }
        return numberHeader(call, PRIORITY_HEADER, MAX_PRIORITY);
    }

    private static int numberHeader(HttpCall call, String header, int max) {
        try {
            int value = Integer.parseInt(call.header(header).strip());
            if (value >= 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Refused below, like a number out of range.
        }
        throw new LaurelweirException(
                ResultCode.BAD_REQUEST, header + " is not a whole number from 0 to " + max);
    }
}

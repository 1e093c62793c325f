package org.laurelweir.router.request;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.AllowedRegions;
import org.laurelweir.direct.Contention;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RequestTerms;
import org.laurelweir.direct.Resumption;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RouteTable;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.http.HopByHopHeaders;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.router.rpc.SettingsLease;
import org.laurelweir.settings.KeyDigest;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsTree;

/** Resolves callers' requests to routes, by the settings in force. Thread-safe. */
public final class RouteResolver {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PROGRAM = "router";
    private static final int MAX_PROMPT_PARTS = 256;
    private static final Pattern REQUEST_ID = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final int HEXADECIMAL_RADIX = 16;
    private static final Duration DEFAULT_CALLER_TIMEOUT = Duration.ofMinutes(1);

    private final SettingsLookup mSettings;
    private final HttpDialect mDialect;
    private final SettingsLease mLease;
    private final InstantSource mClock;
    private final int mContendedSlotTokens;
    private volatile RouteTable mRoutes = RouteTable.empty();
    private volatile Contention mContention = Contention.NONE;

    /**
     * Creates a resolver.
     *
     * @param settings the settings in force
     * @param dialect the names of headers
     * @param lease tells whether the settings are confirmed recently enough
     * @param clock the time of decisions in the log
     * @param contendedSlotTokens the tokens of memory for each slot of an engine below which a
     *     deployment counts as contended; 0 for never
     */
    public RouteResolver(
            SettingsLookup settings,
            HttpDialect dialect,
            SettingsLease lease,
            InstantSource clock,
            int contendedSlotTokens) {
        mClock = clock;
        mContendedSlotTokens = contendedSlotTokens;
        mSettings = settings;
        mDialect = dialect;
        mLease = lease;
    }

    /**
     * Resolves a call.
     *
     * @param call the complete request
     * @return the request to route, or empty if no route matches and some services are not reached
     *     by routes
     * @throws LaurelweirException with a code from 1000 to 1999 if the caller has to change the
     *     request, from 2000 to 2999 if this router can't resolve it yet
     */
    public Optional<RoutedRequest> resolve(HttpCall call) {
        RouteTable routes = routes();
        if (!isReady(routes)) {
            throw new LaurelweirException(
                    ResultCode.SETTINGS_UNKNOWN, "this router has no confirmed settings yet");
        }
        Optional<Route> route = routes.find(call.header("Host"), call.path());
        if (route.isEmpty() && routes.allServicesRouted()) {
            throw denial(ResultCode.UNKNOWN_SERVICE, "no route matches this host and path");
        }
        return route.map(r -> newRequest(routes.tree(), r, call));
    }

    /**
     * Resolves a request that is not sent, of a client account that is named without its key.
     *
     * @param account the client account, or empty
     * @param parts the value of the header with the prompt's parts, or empty
     * @param tokens the value of the header with the prompt's tokens; empty for the sum of the
     *     parts
     * @throws LaurelweirException with the code with which the request would be refused
     */
    public RoutedRequest resolveUnsent(
            String host, String path, String account, String parts, String tokens) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set("Host", host);
        headers.set(mDialect.promptParts(), parts);
        headers.set(mDialect.promptTokens(), tokens.isEmpty() ? "0,0" : tokens);
        HttpCall call = new HttpCall("POST", path, headers, new byte[0]);
        RouteTable routes = routes();
        if (!isReady(routes)) {
            throw new LaurelweirException(
                    ResultCode.SETTINGS_UNKNOWN, "this router has no confirmed settings yet");
        }
        Route route =
                routes.find(host, call.path())
                        .orElseThrow(
                                () ->
                                        denial(
                                                ResultCode.UNKNOWN_SERVICE,
                                                "no route matches this host and path"));
        boolean isKnown =
                !account.isEmpty() && routes.tree().node(NodePath.ofAccount(account)).isPresent();
        if (!isKnown && !(route.isPublic() && account.isEmpty())) {
            throw denial(ResultCode.UNAUTHENTICATED, "no such client account: " + account);
        }
        RoutedRequest r = newRequest(routes.tree(), route, route.isPublic() ? "" : account, call);
        if (!parts.isBlank() && !r.prompt().isPresent()) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST,
                    "malformed parts or tokens, expected ID:N,... with ID in hexadecimal, and N,M");
        }
        return tokens.isEmpty() ? withSummedTokens(r) : r;
    }

    private static RoutedRequest withSummedTokens(RoutedRequest r) {
        int sum = r.prompt().parts().stream().mapToInt(Prompt.Part::tokens).sum();
        return new RoutedRequest(
                r.id(),
                r.route(),
                r.account(),
                r.priority(),
                r.timeLeft(),
                r.call(),
                new Prompt(r.prompt().parts(), sum, 0),
                r.allowedRegions(),
                r.resumption(),
                r.terms());
    }

    /** Returns whether the router has settings that it may use. */
    public boolean isReady() {
        return isReady(routes());
    }

    private boolean isReady(RouteTable routes) {
        return routes.tree().position() > 0 && mLease.isUsable();
    }

    /**
     * Returns the decision to log for a refused call.
     *
     * @param call the refused call
     * @param e the reason
     */
    public Decision refusalDecision(HttpCall call, LaurelweirException e) {
        String position = "settings at " + mSettings.tree().position();
        return Decision.builder(mClock.instant(), PROGRAM)
                .request(call.header(mDialect.requestId()))
                .candidates(List.of(position))
                .choice(e.getCode().name(), "turned away: " + e.getMessage())
                .build();
    }

    private RouteTable routes() {
        RouteTable routes = mRoutes;
        SettingsTree tree = mSettings.tree();
        if (routes.tree() != tree) {
            routes = routes.withTree(tree);
            mContention = Contention.of(tree, mContendedSlotTokens);
            mRoutes = routes;
        }
        return routes;
    }

    private RoutedRequest newRequest(SettingsTree tree, Route route, HttpCall call) {
        return newRequest(tree, route, route.isPublic() ? "" : accountOf(tree, call), call);
    }

    private RoutedRequest newRequest(
            SettingsTree tree, Route route, String account, HttpCall call) {
        return new RoutedRequest(
                call.header(mDialect.requestId()),
                route,
                account,
                priority(tree, route, account),
                timeLeft(route, call),
                new AttemptRequest.Call(
                        call.method(),
                        call.uri(),
                        forwardedHeaders(call),
                        call.body(),
                        route.streamed()),
                prompt(call),
                route.allowedRegions().and(allowedRegions(tree, account)),
                resumption(route, call),
                terms(tree, account, call));
    }

    private RequestTerms terms(SettingsTree tree, String account, HttpCall call) {
        Contention contention = mContention;
        return contention.isContended()
                ? contention.terms(accountWeight(tree, account), lengthHint(call))
                : RequestTerms.NONE;
    }

    private static double accountWeight(SettingsTree tree, String account) {
        double usual = SettingKeys.ACCOUNT_WEIGHT.defaultValue();
        if (account.isEmpty()) {
            return usual;
        }
        return tree.node(NodePath.ofAccount(account))
                .map(n -> n.value(SettingKeys.ACCOUNT_WEIGHT))
                .orElse(usual);
    }

    /** Returns the number of tokens that the caller expects to be generated, or 0 without any. */
    private int lengthHint(HttpCall call) {
        String value = call.header(mDialect.lengthHint()).strip();
        if (value.isEmpty()) {
            return 0;
        }
        try {
            return Math.max(0, Integer.parseInt(value));
        } catch (NumberFormatException e) {
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "ignored malformed %s \"%s\", expected a whole number",
                    mDialect.lengthHint(), value);
            return 0;
        }
    }

    /**
     * Returns the stream that the caller goes on with.
     *
     * @throws LaurelweirException BAD_REQUEST if the caller names what can't have begun a stream
     */
    private Resumption resumption(Route route, HttpCall call) {
        if (!route.streamed()) {
            return Resumption.NONE;
        }
        String firstRequest = call.header(mDialect.resumes()).strip();
        String lastEvent = call.header(mDialect.resumeAfter()).strip();
        if (!firstRequest.isEmpty() && !REQUEST_ID.matcher(firstRequest).matches()) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, mDialect.resumes() + " is not a request id");
        }
        if (!firstRequest.isEmpty() && firstRequest.equals(call.header(mDialect.requestId()))) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, mDialect.resumes() + " names this request itself");
        }
        return new Resumption(firstRequest, lastEvent);
    }

    private static AllowedRegions allowedRegions(SettingsTree tree, String account) {
        if (account.isEmpty()) {
            return AllowedRegions.ALL;
        }
        return tree.node(NodePath.ofAccount(account))
                .map(n -> AllowedRegions.of(n.value(SettingKeys.ACCOUNT_ALLOWED_REGIONS)))
                .orElse(AllowedRegions.ALL);
    }

    /**
     * Returns the client account of a call's API key. A router that can't reach control does not
     * learn that a key was revoked. It refuses all keys once the key lease has expired, so that a
     * revoked key is accepted for a limited time only.
     */
    private String accountOf(SettingsTree tree, HttpCall call) {
        if (!mLease.mayServeKeys()) {
            throw new LaurelweirException(
                    ResultCode.KEYS_UNCONFIRMED, "this router can't confirm that keys are valid");
        }
        String value = call.header("Authorization");
        String scheme = mDialect.keyScheme() + " ";
        if (!value.regionMatches(true, 0, scheme, 0, scheme.length())) {
            throw denial(ResultCode.UNAUTHENTICATED, "a key is needed");
        }
        String digest = KeyDigest.of(value.substring(scheme.length()).strip());
        return tree.accountOfKey(digest)
                .orElseThrow(() -> denial(ResultCode.UNAUTHENTICATED, "the key is unknown"));
    }

    /**
     * Returns the error for a route or key that does not exist. If newer settings may contain it,
     * the error asks the caller to retry: after a final error from a router with old settings, a
     * caller would give up a request that every other router serves.
     */
    private LaurelweirException denial(ResultCode code, String message) {
        return mLease.mayDeny()
                ? new LaurelweirException(code, message)
                : new LaurelweirException(
                        ResultCode.SETTINGS_UNKNOWN,
                        message + " according to this router's settings, which may be outdated");
    }

    private static int priority(SettingsTree tree, Route route, String account) {
        if (account.isEmpty()) {
            return route.priority();
        }
        return tree.node(NodePath.ofAccount(account))
                .map(n -> n.value(SettingKeys.ACCOUNT_PRIORITY))
                .filter(p -> p >= 0)
                .orElse(route.priority());
    }

    /** Returns the caller's timeout, or one minute if its header is missing or malformed. */
    public Duration callerTimeout(HttpCall call) {
        try {
            return Duration.ofMillis(Long.parseLong(call.header(mDialect.timeLeft()).strip()));
        } catch (NumberFormatException e) {
            return DEFAULT_CALLER_TIMEOUT;
        }
    }

    private Duration timeLeft(Route route, HttpCall call) {
        String value = call.header(mDialect.timeLeft()).strip();
        if (value.isEmpty()) {
            return route.timeout();
        }
        try {
            long millis = Long.parseLong(value);
            return millis < route.timeout().toMillis()
                    ? Duration.ofMillis(millis)
                    : route.timeout();
        } catch (NumberFormatException e) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, mDialect.timeLeft() + " is not a whole number", e);
        }
    }

    private List<Header> forwardedHeaders(HttpCall call) {
        List<Header> headers = new ArrayList<>();
        String host = call.header("Host");
        headers.add(new Header("Host", host));
        for (Header h : HopByHopHeaders.forwardedHeaders(call)) {
            if (!mDialect.reserved().contains(h.name().toLowerCase(Locale.ROOT))) {
                headers.add(h);
            }
        }
        return headers;
    }

    /**
     * Returns the prompt that the headers describe. A request with malformed headers is still
     * served, but routed without regard to cached prompt parts.
     */
    private Prompt prompt(HttpCall call) {
        String value = call.header(mDialect.promptParts()).strip();
        if (value.isEmpty()) {
            return Prompt.NONE;
        }
        try {
            List<Prompt.Part> parts = new ArrayList<>();
            for (String part : value.split(",", MAX_PROMPT_PARTS)) {
                int colon = part.lastIndexOf(':');
                parts.add(
                        new Prompt.Part(
                                Long.parseUnsignedLong(
                                        part.substring(0, colon).strip(), HEXADECIMAL_RADIX),
                                Integer.parseInt(part.substring(colon + 1).strip())));
            }
            String[] tokens = call.header(mDialect.promptTokens()).split(",");
            return new Prompt(
                    parts,
                    Integer.parseInt(tokens[0].strip()),
                    Integer.parseInt(tokens[1].strip()));
        } catch (RuntimeException e) {
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "request %s is routed without regard to caches, malformed prompt headers: %s",
                    call.header(mDialect.requestId()), e);
            return Prompt.NONE;
        }
    }
}

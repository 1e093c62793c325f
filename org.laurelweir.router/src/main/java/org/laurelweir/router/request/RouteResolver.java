package org.laurelweir.router.request;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RouteTable;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.http.HopHeaders;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.router.rpc.SettingsTrust;
import org.laurelweir.settings.KeyDigest;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsTree;

/** Resolves callers' requests to routes by the settings in force. Thread-safe. */
public final class RouteResolver {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String PROGRAM = "router";
    private static final int MAX_PARTS = 256;
    private static final int HEXADECIMAL = 16;
    private static final Duration UNTOLD_TIME = Duration.ofMinutes(1);

    private final SettingsLookup mSettings;
    private final HttpDialect mDialect;
    private final SettingsTrust mTrust;
    private final InstantSource mClock;
    private volatile RouteTable mRoutes = RouteTable.empty();

    /**
     * Creates a resolver.
     *
     * @param settings those in force
     * @param dialect the names of headers
     * @param trust how far the settings can be relied on
     * @param clock stamps the log's records
     */
    public RouteResolver(
            SettingsLookup settings,
            HttpDialect dialect,
            SettingsTrust trust,
            InstantSource clock) {
        mClock = clock;
        mSettings = settings;
        mDialect = dialect;
        mTrust = trust;
    }

    /**
     * Resolves a call.
     *
     * @param call read whole
     * @return the request to route, or nothing where services are reached in other ways too and no
     *     route takes the call
     * @throws LaurelweirException with a code of the 1000s where the caller has to change it, of
     *     the 2000s where this router can't tell yet
     */
    public Optional<RoutedRequest> resolve(HttpCall call) {
        RouteTable routes = routes();
        if (!isReady(routes)) {
            throw new LaurelweirException(
                    ResultCode.SETTINGS_UNKNOWN, "this router has no confirmed settings yet");
        }
        Optional<Route> route = routes.find(call.header("Host"), call.path());
        if (route.isEmpty() && routes.allServicesRouted()) {
            throw denial(ResultCode.UNKNOWN_SERVICE, "no route takes this path");
        }
        return route.map(r -> request(routes.tree(), r, call));
    }

    /** Returns whether there are settings, and confirmed ones where they have to be. */
    public boolean isReady() {
        return isReady(routes());
    }

    private boolean isReady(RouteTable routes) {
        return routes.tree().position() > 0 && mTrust.isUsable();
    }

    /**
     * Returns the log's record of a call that is turned away.
     *
     * @param call the call
     * @param e why
     */
    public Decision refusal(HttpCall call, LaurelweirException e) {
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
            mRoutes = routes;
        }
        return routes;
    }

    private RoutedRequest request(SettingsTree tree, Route route, HttpCall call) {
        String account = route.isPublic() ? "" : accountOf(tree, call);
        return new RoutedRequest(
                call.header(mDialect.requestId()),
                route,
                account,
                priority(tree, route, account),
                timeLeft(route, call),
                new AttemptRequest.Call(
                        call.method(), call.uri(), passedOn(call), call.body(), route.streamed()),
                prompt(call));
    }

    /**
     * Finds the client account of a call's key. A router that is out of touch with control may not
     * know that a key was taken away, and would let its holder in for as long as that lasts; it
     * refuses keys altogether once that could have gone on for too long.
     */
    private String accountOf(SettingsTree tree, HttpCall call) {
        if (!mTrust.isGiven()) {
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
     * Says that something does not exist, or, where newer settings may name it, to come back. Told
     * "unknown" by a router that lags, a caller would give up what every other router serves.
     */
    private LaurelweirException denial(ResultCode code, String message) {
        return mTrust.mayDeny()
                ? new LaurelweirException(code, message)
                : new LaurelweirException(
                        ResultCode.SETTINGS_UNKNOWN, message + " as far as is known here");
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

    /** Returns how long a caller says that it waits; a long time where it says nothing readable. */
    public Duration callersTime(HttpCall call) {
        try {
            return Duration.ofMillis(Long.parseLong(call.header(mDialect.timeLeft()).strip()));
        } catch (NumberFormatException e) {
            return UNTOLD_TIME;
        }
    }

    private Duration timeLeft(Route route, HttpCall call) {
        String told = call.header(mDialect.timeLeft()).strip();
        if (told.isEmpty()) {
            return route.timeout();
        }
        try {
            long millis = Long.parseLong(told);
            return millis < route.timeout().toMillis()
                    ? Duration.ofMillis(millis)
                    : route.timeout();
        } catch (NumberFormatException e) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, mDialect.timeLeft() + " is not a whole number", e);
        }
    }

    private List<Header> passedOn(HttpCall call) {
        List<Header> kept = new ArrayList<>();
        String host = call.header("Host");
        kept.add(new Header("Host", host));
        for (Header h : HopHeaders.passedOn(call)) {
            if (!mDialect.reserved().contains(h.name().toLowerCase(Locale.ROOT))) {
                kept.add(h);
            }
        }
        return kept;
    }

    /** A prompt that can't be read is still served, only without regard to what is cached. */
    private Prompt prompt(HttpCall call) {
        String told = call.header(mDialect.promptParts()).strip();
        if (told.isEmpty()) {
            return Prompt.NONE;
        }
        try {
            List<Prompt.Part> parts = new ArrayList<>();
            for (String part : told.split(",", MAX_PARTS)) {
                int colon = part.lastIndexOf(':');
                parts.add(
                        new Prompt.Part(
                                Long.parseUnsignedLong(
                                        part.substring(0, colon).strip(), HEXADECIMAL),
                                Integer.parseInt(part.substring(colon + 1).strip())));
            }
            String[] tokens = call.header(mDialect.promptTokens()).split(",");
            return new Prompt(
                    parts,
                    Integer.parseInt(tokens[0].strip()),
                    Integer.parseInt(tokens[1].strip()));
        } catch (RuntimeException e) {
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "prompt of request %s can't be read, no cache is looked for: %s",
                    call.header(mDialect.requestId()), e);
            return Prompt.NONE;
        }
    }
}

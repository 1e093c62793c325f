package org.laurelweir.pgm.fleet;

import com.codahale.metrics.MetricRegistry;
import io.grpc.Channel;
import java.time.Duration;
import java.util.List;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.TrafficCounters;

/** The connections to the fleet that one invocation of the command line uses. */
public final class FleetConnection implements Service {
    private final EventLoops mLoops = new EventLoops("fleet", 1);
    private final Channels mChannels =
            Channels.builder(mLoops, new TrafficCounters(new MetricRegistry())).build();
    private final Duration mTimeout;
    private final Runnable mRetryPause;
    private final ControlClient mControl;

    /**
     * Creates connections, each of which opens with its first call.
     *
     * @param control the control instances' addresses, host:port
     * @param timeout the timeout of one attempt
     * @param pause waits before a retry
     */
    public FleetConnection(List<String> control, Duration timeout, Runnable pause) {
        mTimeout = timeout;
        mRetryPause = pause;
        mControl = new ControlClient(mChannels, control, timeout, pause);
    }

    /** Returns the client of control. */
    public ControlClient control() {
        return mControl;
    }

    /** Returns a new reader of decisions, for one request. */
    public DecisionReader decisions() {
        return new DecisionReader(mChannels, mTimeout);
    }

    /** Returns the channel to a program's address, host:port. */
    public Channel channel(String address) {
        return mChannels.get(address);
    }

    /** Waits before a retry. */
    public void pauseBeforeRetry() {
        mRetryPause.run();
    }

    /** Returns the timeout of one call. */
    public Duration timeout() {
        return mTimeout;
    }

    @Override
    public void start() {
        mChannels.start();
    }

    @Override
    public void stop() {
        mChannels.stop();
        mLoops.stop();
    }
}

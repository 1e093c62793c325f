package org.laurelweir.runtime.rpc;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerStreamTracer;
import java.util.Set;
import java.util.function.LongSupplier;
import org.laurelweir.runtime.metrics.MetricNames;

/**
 * Counts the bytes that gRPC messages take on the wire, by service and direction, as seen by this
 * process: {@code laurelweir_control_bytes_total}, and {@code laurelweir_payload_bytes_total} for
 * the streams that carry callers' requests and answers. A message counts with its five bytes of
 * gRPC framing. The overhead of HTTP/2 (frame headers, compressed headers) is not counted.
 */
public final class TrafficCounters {
    private static final int MESSAGE_FRAMING_BYTES = 5;
    private static final String CONTROL = "control.bytes";
    private static final String PAYLOAD = "payload.bytes";
    private static final String PAYLOAD_METHOD = "laurelweir.v1.SidecarService/Attempt";

    private static final ServerStreamTracer NOT_COUNTED = new ServerStreamTracer() {};

    private final MetricRegistry mRegistry;

    /**
     * Creates counters in a registry.
     *
     * @param registry shared by the process's servers and channels
     */
    public TrafficCounters(MetricRegistry registry) {
        mRegistry = registry;
    }

    /**
     * Registers control bytes that are counted elsewhere, such as those of a separate connection
     * whose count includes the overhead of HTTP/2.
     *
     * @param service value of the metric's service label
     * @param in bytes received so far
     * @param out bytes sent so far
     */
    public void registerExternal(String service, LongSupplier in, LongSupplier out) {
        mRegistry.register(name(CONTROL, service, "in"), new ExternalCounter(in));
        mRegistry.register(name(CONTROL, service, "out"), new ExternalCounter(out));
    }

    /**
     * Returns what counts the bytes of a server's calls. Calls of services that the server does not
     * have are not counted: their names come from clients, and each would stay in the registry.
     *
     * @param services full names of the server's services
     */
    ServerStreamTracer.Factory serverTracers(Set<String> services) {
        return new ServerStreamTracer.Factory() {
            @Override
            public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
                if (!services.contains(MethodDescriptor.extractFullServiceName(method))) {
                    return NOT_COUNTED;
                }
                return new ServerBytes(counter(method, "in"), counter(method, "out"));
            }
        };
    }

    ClientInterceptor clientInterceptor() {
        return new ClientInterceptor() {
            @Override
            public <Q, A> ClientCall<Q, A> interceptCall(
                    MethodDescriptor<Q, A> method, CallOptions options, Channel next) {
                ClientStreamTracer.Factory tracers = clientTracers(method.getFullMethodName());
                return next.newCall(method, options.withStreamTracerFactory(tracers));
            }
        };
    }

    private ClientStreamTracer.Factory clientTracers(String method) {
        return new ClientStreamTracer.Factory() {
            @Override
            public ClientStreamTracer newClientStreamTracer(
                    ClientStreamTracer.StreamInfo info, Metadata headers) {
                return new ClientBytes(counter(method, "in"), counter(method, "out"));
            }
        };
    }

    private Counter counter(String method, String direction) {
        String family = method.equals(PAYLOAD_METHOD) ? PAYLOAD : CONTROL;
        String service = MethodDescriptor.extractFullServiceName(method);
        String simple = service.substring(service.lastIndexOf('.') + 1);
        return mRegistry.counter(name(family, simple, direction));
    }

    private static String name(String family, String service, String direction) {
        return MetricNames.labelled(family, "service", service, "direction", direction);
    }

    private record ExternalCounter(LongSupplier bytes) implements Metric, Counting {
        @Override
        public long getCount() {
            return bytes.getAsLong();
        }
    }

    private static final class ServerBytes extends ServerStreamTracer {
        private final Counter mIn;
        private final Counter mOut;

        ServerBytes(Counter in, Counter out) {
            mIn = in;
            mOut = out;
        }

        @Override
        public void inboundMessage(int sequence) {
            mIn.inc(MESSAGE_FRAMING_BYTES);
        }

        @Override
        public void outboundMessage(int sequence) {
            mOut.inc(MESSAGE_FRAMING_BYTES);
        }

        @Override
        public void inboundWireSize(long bytes) {
            mIn.inc(bytes);
        }

        @Override
        public void outboundWireSize(long bytes) {
            mOut.inc(bytes);
        }
    }

    private static final class ClientBytes extends ClientStreamTracer {
        private final Counter mIn;
        private final Counter mOut;

        ClientBytes(Counter in, Counter out) {
            mIn = in;
            mOut = out;
        }

        @Override
        public void inboundMessage(int sequence) {
            mIn.inc(MESSAGE_FRAMING_BYTES);
        }

        @Override
        public void outboundMessage(int sequence) {
            mOut.inc(MESSAGE_FRAMING_BYTES);
        }

        @Override
        public void inboundWireSize(long bytes) {
            mIn.inc(bytes);
        }

        @Override
        public void outboundWireSize(long bytes) {
            mOut.inc(bytes);
        }
    }
}

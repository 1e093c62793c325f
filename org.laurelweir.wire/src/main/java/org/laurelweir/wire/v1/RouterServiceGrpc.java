package org.laurelweir.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every router for the operators' command line.
 * </pre>
 */
@javax.annotation.Generated(
    value = "by gRPC proto compiler",
    comments = "Source: laurelweir/v1/router.proto")
@io.grpc.stub.annotations.GrpcGenerated
public final class RouterServiceGrpc {

  private RouterServiceGrpc() {}

  public static final String SERVICE_NAME = "laurelweir.v1.RouterService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ExplainRequest,
      org.laurelweir.wire.v1.ExplainReply> getExplainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Explain",
      requestType = org.laurelweir.wire.v1.ExplainRequest.class,
      responseType = org.laurelweir.wire.v1.ExplainReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ExplainRequest,
      org.laurelweir.wire.v1.ExplainReply> getExplainMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ExplainRequest, org.laurelweir.wire.v1.ExplainReply> getExplainMethod;
    if ((getExplainMethod = RouterServiceGrpc.getExplainMethod) == null) {
      synchronized (RouterServiceGrpc.class) {
        if ((getExplainMethod = RouterServiceGrpc.getExplainMethod) == null) {
          RouterServiceGrpc.getExplainMethod = getExplainMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ExplainRequest, org.laurelweir.wire.v1.ExplainReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Explain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ExplainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ExplainReply.getDefaultInstance()))
              .setSchemaDescriptor(new RouterServiceMethodDescriptorSupplier("Explain"))
              .build();
        }
      }
    }
    return getExplainMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static RouterServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterServiceStub>() {
        @java.lang.Override
        public RouterServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterServiceStub(channel, callOptions);
        }
      };
    return RouterServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static RouterServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterServiceBlockingStub>() {
        @java.lang.Override
        public RouterServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterServiceBlockingStub(channel, callOptions);
        }
      };
    return RouterServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static RouterServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterServiceFutureStub>() {
        @java.lang.Override
        public RouterServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterServiceFutureStub(channel, callOptions);
        }
      };
    return RouterServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every router for the operators' command line.
   * </pre>
   */
  public static abstract class RouterServiceImplBase implements io.grpc.BindableService {

    /**
     */
    public void explain(org.laurelweir.wire.v1.ExplainRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExplainReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExplainMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getExplainMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ExplainRequest,
                org.laurelweir.wire.v1.ExplainReply>(
                  this, METHODID_EXPLAIN)))
          .build();
    }
  }

  /**
   * <pre>
   * Served by every router for the operators' command line.
   * </pre>
   */
  public static final class RouterServiceStub extends io.grpc.stub.AbstractAsyncStub<RouterServiceStub> {
    private RouterServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterServiceStub(channel, callOptions);
    }

    /**
     */
    public void explain(org.laurelweir.wire.v1.ExplainRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExplainReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExplainMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * <pre>
   * Served by every router for the operators' command line.
   * </pre>
   */
  public static final class RouterServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<RouterServiceBlockingStub> {
    private RouterServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.laurelweir.wire.v1.ExplainReply explain(org.laurelweir.wire.v1.ExplainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExplainMethod(), getCallOptions(), request);
    }
  }

  /**
   * <pre>
   * Served by every router for the operators' command line.
   * </pre>
   */
  public static final class RouterServiceFutureStub extends io.grpc.stub.AbstractFutureStub<RouterServiceFutureStub> {
    private RouterServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ExplainReply> explain(
        org.laurelweir.wire.v1.ExplainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExplainMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXPLAIN = 0;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final RouterServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(RouterServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXPLAIN:
          serviceImpl.explain((org.laurelweir.wire.v1.ExplainRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExplainReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  private static abstract class RouterServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    RouterServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.laurelweir.wire.v1.Router.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("RouterService");
    }
  }

  private static final class RouterServiceFileDescriptorSupplier
      extends RouterServiceBaseDescriptorSupplier {
    RouterServiceFileDescriptorSupplier() {}
  }

  private static final class RouterServiceMethodDescriptorSupplier
      extends RouterServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    RouterServiceMethodDescriptorSupplier(String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (RouterServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new RouterServiceFileDescriptorSupplier())
              .addMethod(getExplainMethod())
              .build();
        }
      }
    }
    return result;
  }
}

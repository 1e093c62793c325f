package org.laurelweir.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Between control instances: the replicated log's messages. They may be lost, repeated, reordered.
 * </pre>
 */
@javax.annotation.Generated(
    value = "by gRPC proto compiler",
    comments = "Source: laurelweir/v1/replica.proto")
@io.grpc.stub.annotations.GrpcGenerated
public final class ReplicaServiceGrpc {

  private ReplicaServiceGrpc() {}

  public static final String SERVICE_NAME = "laurelweir.v1.ReplicaService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ReplicaEnvelope,
      org.laurelweir.wire.v1.DeliverReply> getDeliverMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Deliver",
      requestType = org.laurelweir.wire.v1.ReplicaEnvelope.class,
      responseType = org.laurelweir.wire.v1.DeliverReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ReplicaEnvelope,
      org.laurelweir.wire.v1.DeliverReply> getDeliverMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ReplicaEnvelope, org.laurelweir.wire.v1.DeliverReply> getDeliverMethod;
    if ((getDeliverMethod = ReplicaServiceGrpc.getDeliverMethod) == null) {
      synchronized (ReplicaServiceGrpc.class) {
        if ((getDeliverMethod = ReplicaServiceGrpc.getDeliverMethod) == null) {
          ReplicaServiceGrpc.getDeliverMethod = getDeliverMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ReplicaEnvelope, org.laurelweir.wire.v1.DeliverReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Deliver"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ReplicaEnvelope.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.DeliverReply.getDefaultInstance()))
              .setSchemaDescriptor(new ReplicaServiceMethodDescriptorSupplier("Deliver"))
              .build();
        }
      }
    }
    return getDeliverMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.IdentifyRequest,
      org.laurelweir.wire.v1.IdentifyReply> getIdentifyMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Identify",
      requestType = org.laurelweir.wire.v1.IdentifyRequest.class,
      responseType = org.laurelweir.wire.v1.IdentifyReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.IdentifyRequest,
      org.laurelweir.wire.v1.IdentifyReply> getIdentifyMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.IdentifyRequest, org.laurelweir.wire.v1.IdentifyReply> getIdentifyMethod;
    if ((getIdentifyMethod = ReplicaServiceGrpc.getIdentifyMethod) == null) {
      synchronized (ReplicaServiceGrpc.class) {
        if ((getIdentifyMethod = ReplicaServiceGrpc.getIdentifyMethod) == null) {
          ReplicaServiceGrpc.getIdentifyMethod = getIdentifyMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.IdentifyRequest, org.laurelweir.wire.v1.IdentifyReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Identify"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.IdentifyRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.IdentifyReply.getDefaultInstance()))
              .setSchemaDescriptor(new ReplicaServiceMethodDescriptorSupplier("Identify"))
              .build();
        }
      }
    }
    return getIdentifyMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ReplicaServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ReplicaServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ReplicaServiceStub>() {
        @java.lang.Override
        public ReplicaServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ReplicaServiceStub(channel, callOptions);
        }
      };
    return ReplicaServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ReplicaServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ReplicaServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ReplicaServiceBlockingStub>() {
        @java.lang.Override
        public ReplicaServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ReplicaServiceBlockingStub(channel, callOptions);
        }
      };
    return ReplicaServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ReplicaServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ReplicaServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ReplicaServiceFutureStub>() {
        @java.lang.Override
        public ReplicaServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ReplicaServiceFutureStub(channel, callOptions);
        }
      };
    return ReplicaServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Between control instances: the replicated log's messages. They may be lost, repeated, reordered.
   * </pre>
   */
  public static abstract class ReplicaServiceImplBase implements io.grpc.BindableService {

    /**
     */
    public void deliver(org.laurelweir.wire.v1.ReplicaEnvelope request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.DeliverReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDeliverMethod(), responseObserver);
    }

    /**
     * <pre>
     * Who the instance is, and whether its disk is new; asked before the first membership is made.
     * </pre>
     */
    public void identify(org.laurelweir.wire.v1.IdentifyRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.IdentifyReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getIdentifyMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getDeliverMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ReplicaEnvelope,
                org.laurelweir.wire.v1.DeliverReply>(
                  this, METHODID_DELIVER)))
          .addMethod(
            getIdentifyMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.IdentifyRequest,
                org.laurelweir.wire.v1.IdentifyReply>(
                  this, METHODID_IDENTIFY)))
          .build();
    }
  }

  /**
   * <pre>
   * Between control instances: the replicated log's messages. They may be lost, repeated, reordered.
   * </pre>
   */
  public static final class ReplicaServiceStub extends io.grpc.stub.AbstractAsyncStub<ReplicaServiceStub> {
    private ReplicaServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ReplicaServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ReplicaServiceStub(channel, callOptions);
    }

    /**
     */
    public void deliver(org.laurelweir.wire.v1.ReplicaEnvelope request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.DeliverReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDeliverMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Who the instance is, and whether its disk is new; asked before the first membership is made.
     * </pre>
     */
    public void identify(org.laurelweir.wire.v1.IdentifyRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.IdentifyReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getIdentifyMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * <pre>
   * Between control instances: the replicated log's messages. They may be lost, repeated, reordered.
   * </pre>
   */
  public static final class ReplicaServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<ReplicaServiceBlockingStub> {
    private ReplicaServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ReplicaServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ReplicaServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.laurelweir.wire.v1.DeliverReply deliver(org.laurelweir.wire.v1.ReplicaEnvelope request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDeliverMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Who the instance is, and whether its disk is new; asked before the first membership is made.
     * </pre>
     */
    public org.laurelweir.wire.v1.IdentifyReply identify(org.laurelweir.wire.v1.IdentifyRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getIdentifyMethod(), getCallOptions(), request);
    }
  }

  /**
   * <pre>
   * Between control instances: the replicated log's messages. They may be lost, repeated, reordered.
   * </pre>
   */
  public static final class ReplicaServiceFutureStub extends io.grpc.stub.AbstractFutureStub<ReplicaServiceFutureStub> {
    private ReplicaServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ReplicaServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ReplicaServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.DeliverReply> deliver(
        org.laurelweir.wire.v1.ReplicaEnvelope request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDeliverMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Who the instance is, and whether its disk is new; asked before the first membership is made.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.IdentifyReply> identify(
        org.laurelweir.wire.v1.IdentifyRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getIdentifyMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_DELIVER = 0;
  private static final int METHODID_IDENTIFY = 1;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final ReplicaServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(ReplicaServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_DELIVER:
          serviceImpl.deliver((org.laurelweir.wire.v1.ReplicaEnvelope) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.DeliverReply>) responseObserver);
          break;
        case METHODID_IDENTIFY:
          serviceImpl.identify((org.laurelweir.wire.v1.IdentifyRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.IdentifyReply>) responseObserver);
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

  private static abstract class ReplicaServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ReplicaServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.laurelweir.wire.v1.Replica.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("ReplicaService");
    }
  }

  private static final class ReplicaServiceFileDescriptorSupplier
      extends ReplicaServiceBaseDescriptorSupplier {
    ReplicaServiceFileDescriptorSupplier() {}
  }

  private static final class ReplicaServiceMethodDescriptorSupplier
      extends ReplicaServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    ReplicaServiceMethodDescriptorSupplier(String methodName) {
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
      synchronized (ReplicaServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ReplicaServiceFileDescriptorSupplier())
              .addMethod(getDeliverMethod())
              .addMethod(getIdentifyMethod())
              .build();
        }
      }
    }
    return result;
  }
}

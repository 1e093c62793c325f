package org.laurelweir.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Between control instances, beside the replicated log: the membership, not durable.
 * </pre>
 */
@javax.annotation.Generated(
    value = "by gRPC proto compiler",
    comments = "Source: laurelweir/v1/peer.proto")
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerServiceGrpc {

  private PeerServiceGrpc() {}

  public static final String SERVICE_NAME = "laurelweir.v1.PeerService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ShareMembershipRequest,
      org.laurelweir.wire.v1.ShareMembershipReply> getShareMembershipMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ShareMembership",
      requestType = org.laurelweir.wire.v1.ShareMembershipRequest.class,
      responseType = org.laurelweir.wire.v1.ShareMembershipReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ShareMembershipRequest,
      org.laurelweir.wire.v1.ShareMembershipReply> getShareMembershipMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ShareMembershipRequest, org.laurelweir.wire.v1.ShareMembershipReply> getShareMembershipMethod;
    if ((getShareMembershipMethod = PeerServiceGrpc.getShareMembershipMethod) == null) {
      synchronized (PeerServiceGrpc.class) {
        if ((getShareMembershipMethod = PeerServiceGrpc.getShareMembershipMethod) == null) {
          PeerServiceGrpc.getShareMembershipMethod = getShareMembershipMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ShareMembershipRequest, org.laurelweir.wire.v1.ShareMembershipReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ShareMembership"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ShareMembershipRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ShareMembershipReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerServiceMethodDescriptorSupplier("ShareMembership"))
              .build();
        }
      }
    }
    return getShareMembershipMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.AnnounceRequest,
      org.laurelweir.wire.v1.AnnounceReply> getAnnounceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Announce",
      requestType = org.laurelweir.wire.v1.AnnounceRequest.class,
      responseType = org.laurelweir.wire.v1.AnnounceReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.AnnounceRequest,
      org.laurelweir.wire.v1.AnnounceReply> getAnnounceMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.AnnounceRequest, org.laurelweir.wire.v1.AnnounceReply> getAnnounceMethod;
    if ((getAnnounceMethod = PeerServiceGrpc.getAnnounceMethod) == null) {
      synchronized (PeerServiceGrpc.class) {
        if ((getAnnounceMethod = PeerServiceGrpc.getAnnounceMethod) == null) {
          PeerServiceGrpc.getAnnounceMethod = getAnnounceMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.AnnounceRequest, org.laurelweir.wire.v1.AnnounceReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Announce"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.AnnounceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.AnnounceReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerServiceMethodDescriptorSupplier("Announce"))
              .build();
        }
      }
    }
    return getAnnounceMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceStub>() {
        @java.lang.Override
        public PeerServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceStub(channel, callOptions);
        }
      };
    return PeerServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingStub>() {
        @java.lang.Override
        public PeerServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceBlockingStub(channel, callOptions);
        }
      };
    return PeerServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceFutureStub>() {
        @java.lang.Override
        public PeerServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceFutureStub(channel, callOptions);
        }
      };
    return PeerServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Between control instances, beside the replicated log: the membership, not durable.
   * </pre>
   */
  public static abstract class PeerServiceImplBase implements io.grpc.BindableService {

    /**
     */
    public void shareMembership(org.laurelweir.wire.v1.ShareMembershipRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ShareMembershipReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getShareMembershipMethod(), responseObserver);
    }

    /**
     * <pre>
     * Passes on at once that backend servers drain or left, ahead of the peer's next question.
     * </pre>
     */
    public void announce(org.laurelweir.wire.v1.AnnounceRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AnnounceReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAnnounceMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getShareMembershipMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ShareMembershipRequest,
                org.laurelweir.wire.v1.ShareMembershipReply>(
                  this, METHODID_SHARE_MEMBERSHIP)))
          .addMethod(
            getAnnounceMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.AnnounceRequest,
                org.laurelweir.wire.v1.AnnounceReply>(
                  this, METHODID_ANNOUNCE)))
          .build();
    }
  }

  /**
   * <pre>
   * Between control instances, beside the replicated log: the membership, not durable.
   * </pre>
   */
  public static final class PeerServiceStub extends io.grpc.stub.AbstractAsyncStub<PeerServiceStub> {
    private PeerServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceStub(channel, callOptions);
    }

    /**
     */
    public void shareMembership(org.laurelweir.wire.v1.ShareMembershipRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ShareMembershipReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getShareMembershipMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Passes on at once that backend servers drain or left, ahead of the peer's next question.
     * </pre>
     */
    public void announce(org.laurelweir.wire.v1.AnnounceRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AnnounceReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAnnounceMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * <pre>
   * Between control instances, beside the replicated log: the membership, not durable.
   * </pre>
   */
  public static final class PeerServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<PeerServiceBlockingStub> {
    private PeerServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.laurelweir.wire.v1.ShareMembershipReply shareMembership(org.laurelweir.wire.v1.ShareMembershipRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getShareMembershipMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Passes on at once that backend servers drain or left, ahead of the peer's next question.
     * </pre>
     */
    public org.laurelweir.wire.v1.AnnounceReply announce(org.laurelweir.wire.v1.AnnounceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAnnounceMethod(), getCallOptions(), request);
    }
  }

  /**
   * <pre>
   * Between control instances, beside the replicated log: the membership, not durable.
   * </pre>
   */
  public static final class PeerServiceFutureStub extends io.grpc.stub.AbstractFutureStub<PeerServiceFutureStub> {
    private PeerServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ShareMembershipReply> shareMembership(
        org.laurelweir.wire.v1.ShareMembershipRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getShareMembershipMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Passes on at once that backend servers drain or left, ahead of the peer's next question.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.AnnounceReply> announce(
        org.laurelweir.wire.v1.AnnounceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAnnounceMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_SHARE_MEMBERSHIP = 0;
  private static final int METHODID_ANNOUNCE = 1;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final PeerServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(PeerServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_SHARE_MEMBERSHIP:
          serviceImpl.shareMembership((org.laurelweir.wire.v1.ShareMembershipRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ShareMembershipReply>) responseObserver);
          break;
        case METHODID_ANNOUNCE:
          serviceImpl.announce((org.laurelweir.wire.v1.AnnounceRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AnnounceReply>) responseObserver);
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

  private static abstract class PeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.laurelweir.wire.v1.Peer.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("PeerService");
    }
  }

  private static final class PeerServiceFileDescriptorSupplier
      extends PeerServiceBaseDescriptorSupplier {
    PeerServiceFileDescriptorSupplier() {}
  }

  private static final class PeerServiceMethodDescriptorSupplier
      extends PeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    PeerServiceMethodDescriptorSupplier(String methodName) {
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
      synchronized (PeerServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerServiceFileDescriptorSupplier())
              .addMethod(getShareMembershipMethod())
              .addMethod(getAnnounceMethod())
              .build();
        }
      }
    }
    return result;
  }
}

package org.laurelweir.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by the sidecar beside each backend server.
 * </pre>
 */
@javax.annotation.Generated(
    value = "by gRPC proto compiler",
    comments = "Source: laurelweir/v1/sidecar.proto")
@io.grpc.stub.annotations.GrpcGenerated
public final class SidecarServiceGrpc {

  private SidecarServiceGrpc() {}

  public static final String SERVICE_NAME = "laurelweir.v1.SidecarService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.AttemptMessage,
      org.laurelweir.wire.v1.AttemptFrame> getAttemptMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Attempt",
      requestType = org.laurelweir.wire.v1.AttemptMessage.class,
      responseType = org.laurelweir.wire.v1.AttemptFrame.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.AttemptMessage,
      org.laurelweir.wire.v1.AttemptFrame> getAttemptMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.AttemptMessage, org.laurelweir.wire.v1.AttemptFrame> getAttemptMethod;
    if ((getAttemptMethod = SidecarServiceGrpc.getAttemptMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getAttemptMethod = SidecarServiceGrpc.getAttemptMethod) == null) {
          SidecarServiceGrpc.getAttemptMethod = getAttemptMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.AttemptMessage, org.laurelweir.wire.v1.AttemptFrame>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Attempt"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.AttemptMessage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.AttemptFrame.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Attempt"))
              .build();
        }
      }
    }
    return getAttemptMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.RevokeRequest,
      org.laurelweir.wire.v1.RevokeReply> getRevokeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Revoke",
      requestType = org.laurelweir.wire.v1.RevokeRequest.class,
      responseType = org.laurelweir.wire.v1.RevokeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.RevokeRequest,
      org.laurelweir.wire.v1.RevokeReply> getRevokeMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.RevokeRequest, org.laurelweir.wire.v1.RevokeReply> getRevokeMethod;
    if ((getRevokeMethod = SidecarServiceGrpc.getRevokeMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getRevokeMethod = SidecarServiceGrpc.getRevokeMethod) == null) {
          SidecarServiceGrpc.getRevokeMethod = getRevokeMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.RevokeRequest, org.laurelweir.wire.v1.RevokeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Revoke"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.RevokeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.RevokeReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Revoke"))
              .build();
        }
      }
    }
    return getRevokeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.LocateChatsRequest,
      org.laurelweir.wire.v1.LocateChatsReply> getLocateChatsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "LocateChats",
      requestType = org.laurelweir.wire.v1.LocateChatsRequest.class,
      responseType = org.laurelweir.wire.v1.LocateChatsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.LocateChatsRequest,
      org.laurelweir.wire.v1.LocateChatsReply> getLocateChatsMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.LocateChatsRequest, org.laurelweir.wire.v1.LocateChatsReply> getLocateChatsMethod;
    if ((getLocateChatsMethod = SidecarServiceGrpc.getLocateChatsMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getLocateChatsMethod = SidecarServiceGrpc.getLocateChatsMethod) == null) {
          SidecarServiceGrpc.getLocateChatsMethod = getLocateChatsMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.LocateChatsRequest, org.laurelweir.wire.v1.LocateChatsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "LocateChats"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.LocateChatsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.LocateChatsReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("LocateChats"))
              .build();
        }
      }
    }
    return getLocateChatsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.HandOverChatsRequest,
      org.laurelweir.wire.v1.HandOverChatsReply> getHandOverChatsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "HandOverChats",
      requestType = org.laurelweir.wire.v1.HandOverChatsRequest.class,
      responseType = org.laurelweir.wire.v1.HandOverChatsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.HandOverChatsRequest,
      org.laurelweir.wire.v1.HandOverChatsReply> getHandOverChatsMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.HandOverChatsRequest, org.laurelweir.wire.v1.HandOverChatsReply> getHandOverChatsMethod;
    if ((getHandOverChatsMethod = SidecarServiceGrpc.getHandOverChatsMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getHandOverChatsMethod = SidecarServiceGrpc.getHandOverChatsMethod) == null) {
          SidecarServiceGrpc.getHandOverChatsMethod = getHandOverChatsMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.HandOverChatsRequest, org.laurelweir.wire.v1.HandOverChatsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "HandOverChats"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.HandOverChatsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.HandOverChatsReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("HandOverChats"))
              .build();
        }
      }
    }
    return getHandOverChatsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.OrderRequest,
      org.laurelweir.wire.v1.OrderReply> getOrderMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Order",
      requestType = org.laurelweir.wire.v1.OrderRequest.class,
      responseType = org.laurelweir.wire.v1.OrderReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.OrderRequest,
      org.laurelweir.wire.v1.OrderReply> getOrderMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.OrderRequest, org.laurelweir.wire.v1.OrderReply> getOrderMethod;
    if ((getOrderMethod = SidecarServiceGrpc.getOrderMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getOrderMethod = SidecarServiceGrpc.getOrderMethod) == null) {
          SidecarServiceGrpc.getOrderMethod = getOrderMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.OrderRequest, org.laurelweir.wire.v1.OrderReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Order"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.OrderRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.OrderReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Order"))
              .build();
        }
      }
    }
    return getOrderMethod;
  }

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
    if ((getExplainMethod = SidecarServiceGrpc.getExplainMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getExplainMethod = SidecarServiceGrpc.getExplainMethod) == null) {
          SidecarServiceGrpc.getExplainMethod = getExplainMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ExplainRequest, org.laurelweir.wire.v1.ExplainReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Explain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ExplainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ExplainReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Explain"))
              .build();
        }
      }
    }
    return getExplainMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static SidecarServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceStub>() {
        @java.lang.Override
        public SidecarServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceStub(channel, callOptions);
        }
      };
    return SidecarServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static SidecarServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingStub>() {
        @java.lang.Override
        public SidecarServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceBlockingStub(channel, callOptions);
        }
      };
    return SidecarServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static SidecarServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceFutureStub>() {
        @java.lang.Override
        public SidecarServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceFutureStub(channel, callOptions);
        }
      };
    return SidecarServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by the sidecar beside each backend server.
   * </pre>
   */
  public static abstract class SidecarServiceImplBase implements io.grpc.BindableService {

    /**
     * <pre>
     * Runs one attempt, or follows one that runs already. The first message is begin or resume.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AttemptMessage> attempt(
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AttemptFrame> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getAttemptMethod(), responseObserver);
    }

    /**
     * <pre>
     * Makes sure that an attempt which has not started never starts, and tells its state.
     * </pre>
     */
    public void revoke(org.laurelweir.wire.v1.RevokeRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.RevokeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRevokeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells where chats sit that the asked sidecar knows of. Between sidecars.
     * </pre>
     */
    public void locateChats(org.laurelweir.wire.v1.LocateChatsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.LocateChatsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getLocateChatsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Hands directory entries over to the next in rank. Between sidecars.
     * </pre>
     */
    public void handOverChats(org.laurelweir.wire.v1.HandOverChatsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.HandOverChatsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHandOverChatsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Gives the backend server an order to load a model or change its role.
     * </pre>
     */
    public void order(org.laurelweir.wire.v1.OrderRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.OrderReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getOrderMethod(), responseObserver);
    }

    /**
     */
    public void explain(org.laurelweir.wire.v1.ExplainRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExplainReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExplainMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getAttemptMethod(),
            io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.AttemptMessage,
                org.laurelweir.wire.v1.AttemptFrame>(
                  this, METHODID_ATTEMPT)))
          .addMethod(
            getRevokeMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.RevokeRequest,
                org.laurelweir.wire.v1.RevokeReply>(
                  this, METHODID_REVOKE)))
          .addMethod(
            getLocateChatsMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.LocateChatsRequest,
                org.laurelweir.wire.v1.LocateChatsReply>(
                  this, METHODID_LOCATE_CHATS)))
          .addMethod(
            getHandOverChatsMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.HandOverChatsRequest,
                org.laurelweir.wire.v1.HandOverChatsReply>(
                  this, METHODID_HAND_OVER_CHATS)))
          .addMethod(
            getOrderMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.OrderRequest,
                org.laurelweir.wire.v1.OrderReply>(
                  this, METHODID_ORDER)))
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
   * Served by the sidecar beside each backend server.
   * </pre>
   */
  public static final class SidecarServiceStub extends io.grpc.stub.AbstractAsyncStub<SidecarServiceStub> {
    private SidecarServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one attempt, or follows one that runs already. The first message is begin or resume.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AttemptMessage> attempt(
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AttemptFrame> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getAttemptMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Makes sure that an attempt which has not started never starts, and tells its state.
     * </pre>
     */
    public void revoke(org.laurelweir.wire.v1.RevokeRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.RevokeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRevokeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells where chats sit that the asked sidecar knows of. Between sidecars.
     * </pre>
     */
    public void locateChats(org.laurelweir.wire.v1.LocateChatsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.LocateChatsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getLocateChatsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Hands directory entries over to the next in rank. Between sidecars.
     * </pre>
     */
    public void handOverChats(org.laurelweir.wire.v1.HandOverChatsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.HandOverChatsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHandOverChatsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Gives the backend server an order to load a model or change its role.
     * </pre>
     */
    public void order(org.laurelweir.wire.v1.OrderRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.OrderReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getOrderMethod(), getCallOptions()), request, responseObserver);
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
   * Served by the sidecar beside each backend server.
   * </pre>
   */
  public static final class SidecarServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<SidecarServiceBlockingStub> {
    private SidecarServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Makes sure that an attempt which has not started never starts, and tells its state.
     * </pre>
     */
    public org.laurelweir.wire.v1.RevokeReply revoke(org.laurelweir.wire.v1.RevokeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRevokeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells where chats sit that the asked sidecar knows of. Between sidecars.
     * </pre>
     */
    public org.laurelweir.wire.v1.LocateChatsReply locateChats(org.laurelweir.wire.v1.LocateChatsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLocateChatsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Hands directory entries over to the next in rank. Between sidecars.
     * </pre>
     */
    public org.laurelweir.wire.v1.HandOverChatsReply handOverChats(org.laurelweir.wire.v1.HandOverChatsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHandOverChatsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Gives the backend server an order to load a model or change its role.
     * </pre>
     */
    public org.laurelweir.wire.v1.OrderReply order(org.laurelweir.wire.v1.OrderRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getOrderMethod(), getCallOptions(), request);
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
   * Served by the sidecar beside each backend server.
   * </pre>
   */
  public static final class SidecarServiceFutureStub extends io.grpc.stub.AbstractFutureStub<SidecarServiceFutureStub> {
    private SidecarServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Makes sure that an attempt which has not started never starts, and tells its state.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.RevokeReply> revoke(
        org.laurelweir.wire.v1.RevokeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRevokeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells where chats sit that the asked sidecar knows of. Between sidecars.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.LocateChatsReply> locateChats(
        org.laurelweir.wire.v1.LocateChatsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getLocateChatsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Hands directory entries over to the next in rank. Between sidecars.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.HandOverChatsReply> handOverChats(
        org.laurelweir.wire.v1.HandOverChatsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHandOverChatsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Gives the backend server an order to load a model or change its role.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.OrderReply> order(
        org.laurelweir.wire.v1.OrderRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getOrderMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ExplainReply> explain(
        org.laurelweir.wire.v1.ExplainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExplainMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_REVOKE = 0;
  private static final int METHODID_LOCATE_CHATS = 1;
  private static final int METHODID_HAND_OVER_CHATS = 2;
  private static final int METHODID_ORDER = 3;
  private static final int METHODID_EXPLAIN = 4;
  private static final int METHODID_ATTEMPT = 5;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final SidecarServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(SidecarServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_REVOKE:
          serviceImpl.revoke((org.laurelweir.wire.v1.RevokeRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.RevokeReply>) responseObserver);
          break;
        case METHODID_LOCATE_CHATS:
          serviceImpl.locateChats((org.laurelweir.wire.v1.LocateChatsRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.LocateChatsReply>) responseObserver);
          break;
        case METHODID_HAND_OVER_CHATS:
          serviceImpl.handOverChats((org.laurelweir.wire.v1.HandOverChatsRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.HandOverChatsReply>) responseObserver);
          break;
        case METHODID_ORDER:
          serviceImpl.order((org.laurelweir.wire.v1.OrderRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.OrderReply>) responseObserver);
          break;
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
        case METHODID_ATTEMPT:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.attempt(
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.AttemptFrame>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  private static abstract class SidecarServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    SidecarServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.laurelweir.wire.v1.Sidecar.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("SidecarService");
    }
  }

  private static final class SidecarServiceFileDescriptorSupplier
      extends SidecarServiceBaseDescriptorSupplier {
    SidecarServiceFileDescriptorSupplier() {}
  }

  private static final class SidecarServiceMethodDescriptorSupplier
      extends SidecarServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    SidecarServiceMethodDescriptorSupplier(String methodName) {
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
      synchronized (SidecarServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new SidecarServiceFileDescriptorSupplier())
              .addMethod(getAttemptMethod())
              .addMethod(getRevokeMethod())
              .addMethod(getLocateChatsMethod())
              .addMethod(getHandOverChatsMethod())
              .addMethod(getOrderMethod())
              .addMethod(getExplainMethod())
              .build();
        }
      }
    }
    return result;
  }
}

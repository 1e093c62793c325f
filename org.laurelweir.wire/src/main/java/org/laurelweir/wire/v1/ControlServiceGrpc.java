package org.laurelweir.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every control instance.
 * </pre>
 */
@javax.annotation.Generated(
    value = "by gRPC proto compiler",
    comments = "Source: laurelweir/v1/control.proto")
@io.grpc.stub.annotations.GrpcGenerated
public final class ControlServiceGrpc {

  private ControlServiceGrpc() {}

  public static final String SERVICE_NAME = "laurelweir.v1.ControlService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ExchangeRequest,
      org.laurelweir.wire.v1.ExchangeReply> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.laurelweir.wire.v1.ExchangeRequest.class,
      responseType = org.laurelweir.wire.v1.ExchangeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ExchangeRequest,
      org.laurelweir.wire.v1.ExchangeReply> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ExchangeRequest, org.laurelweir.wire.v1.ExchangeReply> getExchangeMethod;
    if ((getExchangeMethod = ControlServiceGrpc.getExchangeMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getExchangeMethod = ControlServiceGrpc.getExchangeMethod) == null) {
          ControlServiceGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ExchangeRequest, org.laurelweir.wire.v1.ExchangeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ExchangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ExchangeReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ClaimRequest,
      org.laurelweir.wire.v1.ClaimReply> getClaimMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Claim",
      requestType = org.laurelweir.wire.v1.ClaimRequest.class,
      responseType = org.laurelweir.wire.v1.ClaimReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ClaimRequest,
      org.laurelweir.wire.v1.ClaimReply> getClaimMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ClaimRequest, org.laurelweir.wire.v1.ClaimReply> getClaimMethod;
    if ((getClaimMethod = ControlServiceGrpc.getClaimMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getClaimMethod = ControlServiceGrpc.getClaimMethod) == null) {
          ControlServiceGrpc.getClaimMethod = getClaimMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ClaimRequest, org.laurelweir.wire.v1.ClaimReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Claim"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ClaimRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ClaimReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Claim"))
              .build();
        }
      }
    }
    return getClaimMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.SettleClaimRequest,
      org.laurelweir.wire.v1.SettleClaimReply> getSettleClaimMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SettleClaim",
      requestType = org.laurelweir.wire.v1.SettleClaimRequest.class,
      responseType = org.laurelweir.wire.v1.SettleClaimReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.SettleClaimRequest,
      org.laurelweir.wire.v1.SettleClaimReply> getSettleClaimMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.SettleClaimRequest, org.laurelweir.wire.v1.SettleClaimReply> getSettleClaimMethod;
    if ((getSettleClaimMethod = ControlServiceGrpc.getSettleClaimMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getSettleClaimMethod = ControlServiceGrpc.getSettleClaimMethod) == null) {
          ControlServiceGrpc.getSettleClaimMethod = getSettleClaimMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.SettleClaimRequest, org.laurelweir.wire.v1.SettleClaimReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SettleClaim"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.SettleClaimRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.SettleClaimReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("SettleClaim"))
              .build();
        }
      }
    }
    return getSettleClaimMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ReadSettingsRequest,
      org.laurelweir.wire.v1.ReadSettingsReply> getReadSettingsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReadSettings",
      requestType = org.laurelweir.wire.v1.ReadSettingsRequest.class,
      responseType = org.laurelweir.wire.v1.ReadSettingsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ReadSettingsRequest,
      org.laurelweir.wire.v1.ReadSettingsReply> getReadSettingsMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ReadSettingsRequest, org.laurelweir.wire.v1.ReadSettingsReply> getReadSettingsMethod;
    if ((getReadSettingsMethod = ControlServiceGrpc.getReadSettingsMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getReadSettingsMethod = ControlServiceGrpc.getReadSettingsMethod) == null) {
          ControlServiceGrpc.getReadSettingsMethod = getReadSettingsMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ReadSettingsRequest, org.laurelweir.wire.v1.ReadSettingsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReadSettings"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ReadSettingsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ReadSettingsReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("ReadSettings"))
              .build();
        }
      }
    }
    return getReadSettingsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ChangeSettingsRequest,
      org.laurelweir.wire.v1.ChangeSettingsReply> getChangeSettingsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ChangeSettings",
      requestType = org.laurelweir.wire.v1.ChangeSettingsRequest.class,
      responseType = org.laurelweir.wire.v1.ChangeSettingsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ChangeSettingsRequest,
      org.laurelweir.wire.v1.ChangeSettingsReply> getChangeSettingsMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ChangeSettingsRequest, org.laurelweir.wire.v1.ChangeSettingsReply> getChangeSettingsMethod;
    if ((getChangeSettingsMethod = ControlServiceGrpc.getChangeSettingsMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getChangeSettingsMethod = ControlServiceGrpc.getChangeSettingsMethod) == null) {
          ControlServiceGrpc.getChangeSettingsMethod = getChangeSettingsMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ChangeSettingsRequest, org.laurelweir.wire.v1.ChangeSettingsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ChangeSettings"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ChangeSettingsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ChangeSettingsReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("ChangeSettings"))
              .build();
        }
      }
    }
    return getChangeSettingsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.HistoryRequest,
      org.laurelweir.wire.v1.HistoryReply> getHistoryMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "History",
      requestType = org.laurelweir.wire.v1.HistoryRequest.class,
      responseType = org.laurelweir.wire.v1.HistoryReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.HistoryRequest,
      org.laurelweir.wire.v1.HistoryReply> getHistoryMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.HistoryRequest, org.laurelweir.wire.v1.HistoryReply> getHistoryMethod;
    if ((getHistoryMethod = ControlServiceGrpc.getHistoryMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getHistoryMethod = ControlServiceGrpc.getHistoryMethod) == null) {
          ControlServiceGrpc.getHistoryMethod = getHistoryMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.HistoryRequest, org.laurelweir.wire.v1.HistoryReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "History"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.HistoryRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.HistoryReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("History"))
              .build();
        }
      }
    }
    return getHistoryMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.DrainRequest,
      org.laurelweir.wire.v1.DrainReply> getDrainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Drain",
      requestType = org.laurelweir.wire.v1.DrainRequest.class,
      responseType = org.laurelweir.wire.v1.DrainReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.DrainRequest,
      org.laurelweir.wire.v1.DrainReply> getDrainMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.DrainRequest, org.laurelweir.wire.v1.DrainReply> getDrainMethod;
    if ((getDrainMethod = ControlServiceGrpc.getDrainMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getDrainMethod = ControlServiceGrpc.getDrainMethod) == null) {
          ControlServiceGrpc.getDrainMethod = getDrainMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.DrainRequest, org.laurelweir.wire.v1.DrainReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Drain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.DrainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.DrainReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Drain"))
              .build();
        }
      }
    }
    return getDrainMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.IssueFenceRequest,
      org.laurelweir.wire.v1.IssueFenceReply> getIssueFenceMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "IssueFence",
      requestType = org.laurelweir.wire.v1.IssueFenceRequest.class,
      responseType = org.laurelweir.wire.v1.IssueFenceReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.IssueFenceRequest,
      org.laurelweir.wire.v1.IssueFenceReply> getIssueFenceMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.IssueFenceRequest, org.laurelweir.wire.v1.IssueFenceReply> getIssueFenceMethod;
    if ((getIssueFenceMethod = ControlServiceGrpc.getIssueFenceMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getIssueFenceMethod = ControlServiceGrpc.getIssueFenceMethod) == null) {
          ControlServiceGrpc.getIssueFenceMethod = getIssueFenceMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.IssueFenceRequest, org.laurelweir.wire.v1.IssueFenceReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "IssueFence"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.IssueFenceRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.IssueFenceReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("IssueFence"))
              .build();
        }
      }
    }
    return getIssueFenceMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.StatusRequest,
      org.laurelweir.wire.v1.StatusReply> getStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Status",
      requestType = org.laurelweir.wire.v1.StatusRequest.class,
      responseType = org.laurelweir.wire.v1.StatusReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.StatusRequest,
      org.laurelweir.wire.v1.StatusReply> getStatusMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.StatusRequest, org.laurelweir.wire.v1.StatusReply> getStatusMethod;
    if ((getStatusMethod = ControlServiceGrpc.getStatusMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getStatusMethod = ControlServiceGrpc.getStatusMethod) == null) {
          ControlServiceGrpc.getStatusMethod = getStatusMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.StatusRequest, org.laurelweir.wire.v1.StatusReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Status"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.StatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.StatusReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Status"))
              .build();
        }
      }
    }
    return getStatusMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ChangeMembersRequest,
      org.laurelweir.wire.v1.ChangeMembersReply> getChangeMembersMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ChangeMembers",
      requestType = org.laurelweir.wire.v1.ChangeMembersRequest.class,
      responseType = org.laurelweir.wire.v1.ChangeMembersReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ChangeMembersRequest,
      org.laurelweir.wire.v1.ChangeMembersReply> getChangeMembersMethod() {
    io.grpc.MethodDescriptor<org.laurelweir.wire.v1.ChangeMembersRequest, org.laurelweir.wire.v1.ChangeMembersReply> getChangeMembersMethod;
    if ((getChangeMembersMethod = ControlServiceGrpc.getChangeMembersMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getChangeMembersMethod = ControlServiceGrpc.getChangeMembersMethod) == null) {
          ControlServiceGrpc.getChangeMembersMethod = getChangeMembersMethod =
              io.grpc.MethodDescriptor.<org.laurelweir.wire.v1.ChangeMembersRequest, org.laurelweir.wire.v1.ChangeMembersReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ChangeMembers"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ChangeMembersRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.laurelweir.wire.v1.ChangeMembersReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("ChangeMembers"))
              .build();
        }
      }
    }
    return getChangeMembersMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ControlServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceStub>() {
        @java.lang.Override
        public ControlServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceStub(channel, callOptions);
        }
      };
    return ControlServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ControlServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceBlockingStub>() {
        @java.lang.Override
        public ControlServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceBlockingStub(channel, callOptions);
        }
      };
    return ControlServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ControlServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceFutureStub>() {
        @java.lang.Override
        public ControlServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceFutureStub(channel, callOptions);
        }
      };
    return ControlServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every control instance.
   * </pre>
   */
  public static abstract class ControlServiceImplBase implements io.grpc.BindableService {

    /**
     * <pre>
     * One exchange a second with a near control instance: load up; mean, membership and settings down.
     * </pre>
     */
    public void exchange(org.laurelweir.wire.v1.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExchangeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Makes a non-idempotent request's first attempt findable before it is sent.
     * </pre>
     */
    public void claim(org.laurelweir.wire.v1.ClaimRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ClaimReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getClaimMethod(), responseObserver);
    }

    /**
     * <pre>
     * Records how a claimed attempt ended.
     * </pre>
     */
    public void settleClaim(org.laurelweir.wire.v1.SettleClaimRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.SettleClaimReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSettleClaimMethod(), responseObserver);
    }

    /**
     */
    public void readSettings(org.laurelweir.wire.v1.ReadSettingsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ReadSettingsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReadSettingsMethod(), responseObserver);
    }

    /**
     */
    public void changeSettings(org.laurelweir.wire.v1.ChangeSettingsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ChangeSettingsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getChangeSettingsMethod(), responseObserver);
    }

    /**
     */
    public void history(org.laurelweir.wire.v1.HistoryRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.HistoryReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHistoryMethod(), responseObserver);
    }

    /**
     */
    public void drain(org.laurelweir.wire.v1.DrainRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.DrainReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDrainMethod(), responseObserver);
    }

    /**
     */
    public void issueFence(org.laurelweir.wire.v1.IssueFenceRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.IssueFenceReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getIssueFenceMethod(), responseObserver);
    }

    /**
     */
    public void status(org.laurelweir.wire.v1.StatusRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.StatusReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStatusMethod(), responseObserver);
    }

    /**
     * <pre>
     * One step of replacing a control instance's replica; only one may be under way.
     * </pre>
     */
    public void changeMembers(org.laurelweir.wire.v1.ChangeMembersRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ChangeMembersReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getChangeMembersMethod(), responseObserver);
    }

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
          .addMethod(
            getExchangeMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ExchangeRequest,
                org.laurelweir.wire.v1.ExchangeReply>(
                  this, METHODID_EXCHANGE)))
          .addMethod(
            getClaimMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ClaimRequest,
                org.laurelweir.wire.v1.ClaimReply>(
                  this, METHODID_CLAIM)))
          .addMethod(
            getSettleClaimMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.SettleClaimRequest,
                org.laurelweir.wire.v1.SettleClaimReply>(
                  this, METHODID_SETTLE_CLAIM)))
          .addMethod(
            getReadSettingsMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ReadSettingsRequest,
                org.laurelweir.wire.v1.ReadSettingsReply>(
                  this, METHODID_READ_SETTINGS)))
          .addMethod(
            getChangeSettingsMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ChangeSettingsRequest,
                org.laurelweir.wire.v1.ChangeSettingsReply>(
                  this, METHODID_CHANGE_SETTINGS)))
          .addMethod(
            getHistoryMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.HistoryRequest,
                org.laurelweir.wire.v1.HistoryReply>(
                  this, METHODID_HISTORY)))
          .addMethod(
            getDrainMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.DrainRequest,
                org.laurelweir.wire.v1.DrainReply>(
                  this, METHODID_DRAIN)))
          .addMethod(
            getIssueFenceMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.IssueFenceRequest,
                org.laurelweir.wire.v1.IssueFenceReply>(
                  this, METHODID_ISSUE_FENCE)))
          .addMethod(
            getStatusMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.StatusRequest,
                org.laurelweir.wire.v1.StatusReply>(
                  this, METHODID_STATUS)))
          .addMethod(
            getChangeMembersMethod(),
            io.grpc.stub.ServerCalls.asyncUnaryCall(
              new MethodHandlers<
                org.laurelweir.wire.v1.ChangeMembersRequest,
                org.laurelweir.wire.v1.ChangeMembersReply>(
                  this, METHODID_CHANGE_MEMBERS)))
          .build();
    }
  }

  /**
   * <pre>
   * Served by every control instance.
   * </pre>
   */
  public static final class ControlServiceStub extends io.grpc.stub.AbstractAsyncStub<ControlServiceStub> {
    private ControlServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * One exchange a second with a near control instance: load up; mean, membership and settings down.
     * </pre>
     */
    public void exchange(org.laurelweir.wire.v1.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExchangeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Makes a non-idempotent request's first attempt findable before it is sent.
     * </pre>
     */
    public void claim(org.laurelweir.wire.v1.ClaimRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ClaimReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getClaimMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Records how a claimed attempt ended.
     * </pre>
     */
    public void settleClaim(org.laurelweir.wire.v1.SettleClaimRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.SettleClaimReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSettleClaimMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void readSettings(org.laurelweir.wire.v1.ReadSettingsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ReadSettingsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReadSettingsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void changeSettings(org.laurelweir.wire.v1.ChangeSettingsRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ChangeSettingsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getChangeSettingsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void history(org.laurelweir.wire.v1.HistoryRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.HistoryReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHistoryMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void drain(org.laurelweir.wire.v1.DrainRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.DrainReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDrainMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void issueFence(org.laurelweir.wire.v1.IssueFenceRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.IssueFenceReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getIssueFenceMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void status(org.laurelweir.wire.v1.StatusRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.StatusReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStatusMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * One step of replacing a control instance's replica; only one may be under way.
     * </pre>
     */
    public void changeMembers(org.laurelweir.wire.v1.ChangeMembersRequest request,
        io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ChangeMembersReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getChangeMembersMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * <pre>
   * Served by every control instance.
   * </pre>
   */
  public static final class ControlServiceBlockingStub extends io.grpc.stub.AbstractBlockingStub<ControlServiceBlockingStub> {
    private ControlServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * One exchange a second with a near control instance: load up; mean, membership and settings down.
     * </pre>
     */
    public org.laurelweir.wire.v1.ExchangeReply exchange(org.laurelweir.wire.v1.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Makes a non-idempotent request's first attempt findable before it is sent.
     * </pre>
     */
    public org.laurelweir.wire.v1.ClaimReply claim(org.laurelweir.wire.v1.ClaimRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getClaimMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Records how a claimed attempt ended.
     * </pre>
     */
    public org.laurelweir.wire.v1.SettleClaimReply settleClaim(org.laurelweir.wire.v1.SettleClaimRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSettleClaimMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.laurelweir.wire.v1.ReadSettingsReply readSettings(org.laurelweir.wire.v1.ReadSettingsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadSettingsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.laurelweir.wire.v1.ChangeSettingsReply changeSettings(org.laurelweir.wire.v1.ChangeSettingsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getChangeSettingsMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.laurelweir.wire.v1.HistoryReply history(org.laurelweir.wire.v1.HistoryRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHistoryMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.laurelweir.wire.v1.DrainReply drain(org.laurelweir.wire.v1.DrainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDrainMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.laurelweir.wire.v1.IssueFenceReply issueFence(org.laurelweir.wire.v1.IssueFenceRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getIssueFenceMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.laurelweir.wire.v1.StatusReply status(org.laurelweir.wire.v1.StatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStatusMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * One step of replacing a control instance's replica; only one may be under way.
     * </pre>
     */
    public org.laurelweir.wire.v1.ChangeMembersReply changeMembers(org.laurelweir.wire.v1.ChangeMembersRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getChangeMembersMethod(), getCallOptions(), request);
    }
  }

  /**
   * <pre>
   * Served by every control instance.
   * </pre>
   */
  public static final class ControlServiceFutureStub extends io.grpc.stub.AbstractFutureStub<ControlServiceFutureStub> {
    private ControlServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * One exchange a second with a near control instance: load up; mean, membership and settings down.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ExchangeReply> exchange(
        org.laurelweir.wire.v1.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Makes a non-idempotent request's first attempt findable before it is sent.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ClaimReply> claim(
        org.laurelweir.wire.v1.ClaimRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getClaimMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Records how a claimed attempt ended.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.SettleClaimReply> settleClaim(
        org.laurelweir.wire.v1.SettleClaimRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSettleClaimMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ReadSettingsReply> readSettings(
        org.laurelweir.wire.v1.ReadSettingsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReadSettingsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ChangeSettingsReply> changeSettings(
        org.laurelweir.wire.v1.ChangeSettingsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getChangeSettingsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.HistoryReply> history(
        org.laurelweir.wire.v1.HistoryRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHistoryMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.DrainReply> drain(
        org.laurelweir.wire.v1.DrainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDrainMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.IssueFenceReply> issueFence(
        org.laurelweir.wire.v1.IssueFenceRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getIssueFenceMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.StatusReply> status(
        org.laurelweir.wire.v1.StatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStatusMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * One step of replacing a control instance's replica; only one may be under way.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.laurelweir.wire.v1.ChangeMembersReply> changeMembers(
        org.laurelweir.wire.v1.ChangeMembersRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getChangeMembersMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;
  private static final int METHODID_CLAIM = 1;
  private static final int METHODID_SETTLE_CLAIM = 2;
  private static final int METHODID_READ_SETTINGS = 3;
  private static final int METHODID_CHANGE_SETTINGS = 4;
  private static final int METHODID_HISTORY = 5;
  private static final int METHODID_DRAIN = 6;
  private static final int METHODID_ISSUE_FENCE = 7;
  private static final int METHODID_STATUS = 8;
  private static final int METHODID_CHANGE_MEMBERS = 9;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final ControlServiceImplBase serviceImpl;
    private final int methodId;

    MethodHandlers(ControlServiceImplBase serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          serviceImpl.exchange((org.laurelweir.wire.v1.ExchangeRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ExchangeReply>) responseObserver);
          break;
        case METHODID_CLAIM:
          serviceImpl.claim((org.laurelweir.wire.v1.ClaimRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ClaimReply>) responseObserver);
          break;
        case METHODID_SETTLE_CLAIM:
          serviceImpl.settleClaim((org.laurelweir.wire.v1.SettleClaimRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.SettleClaimReply>) responseObserver);
          break;
        case METHODID_READ_SETTINGS:
          serviceImpl.readSettings((org.laurelweir.wire.v1.ReadSettingsRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ReadSettingsReply>) responseObserver);
          break;
        case METHODID_CHANGE_SETTINGS:
          serviceImpl.changeSettings((org.laurelweir.wire.v1.ChangeSettingsRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ChangeSettingsReply>) responseObserver);
          break;
        case METHODID_HISTORY:
          serviceImpl.history((org.laurelweir.wire.v1.HistoryRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.HistoryReply>) responseObserver);
          break;
        case METHODID_DRAIN:
          serviceImpl.drain((org.laurelweir.wire.v1.DrainRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.DrainReply>) responseObserver);
          break;
        case METHODID_ISSUE_FENCE:
          serviceImpl.issueFence((org.laurelweir.wire.v1.IssueFenceRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.IssueFenceReply>) responseObserver);
          break;
        case METHODID_STATUS:
          serviceImpl.status((org.laurelweir.wire.v1.StatusRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.StatusReply>) responseObserver);
          break;
        case METHODID_CHANGE_MEMBERS:
          serviceImpl.changeMembers((org.laurelweir.wire.v1.ChangeMembersRequest) request,
              (io.grpc.stub.StreamObserver<org.laurelweir.wire.v1.ChangeMembersReply>) responseObserver);
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

  private static abstract class ControlServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ControlServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.laurelweir.wire.v1.Control.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("ControlService");
    }
  }

  private static final class ControlServiceFileDescriptorSupplier
      extends ControlServiceBaseDescriptorSupplier {
    ControlServiceFileDescriptorSupplier() {}
  }

  private static final class ControlServiceMethodDescriptorSupplier
      extends ControlServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final String methodName;

    ControlServiceMethodDescriptorSupplier(String methodName) {
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
      synchronized (ControlServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ControlServiceFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getClaimMethod())
              .addMethod(getSettleClaimMethod())
              .addMethod(getReadSettingsMethod())
              .addMethod(getChangeSettingsMethod())
              .addMethod(getHistoryMethod())
              .addMethod(getDrainMethod())
              .addMethod(getIssueFenceMethod())
              .addMethod(getStatusMethod())
              .addMethod(getChangeMembersMethod())
              .build();
        }
      }
    }
    return result;
  }
}

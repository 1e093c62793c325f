package org.laurelweir.sidecar.backend;

import io.netty.handler.codec.http.HttpResponse;

/** Receives the head of each answer of the backend server, on its connection's event loop. */
interface NoticeListener {
    /** A head arrived, whichever call it belongs to. */
    void onHead(HttpResponse head);
}

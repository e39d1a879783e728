package io.persimmonreel.daemon.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Closes a connection on which a second request arrives before the first one is answered.
 *
 * <p>Ratpack handles the requests of one connection concurrently and writes responses in the order
 * in which they are ready, so that pipelined requests could receive each other's responses.
 */
final class PipeliningGuard implements Handler {
    private static final AttributeKey<Boolean> BUSY =
            AttributeKey.valueOf(PipeliningGuard.class, "busy");

    @Override
    public void handle(final Context context) {
        final Channel channel = context.getDirectChannelAccess().getChannel();
        if (channel.attr(BUSY).getAndSet(true) != null) {
            Promise.<String>async(
                            down -> channel.close().addListener(closed -> down.success("closed")))
                    .then(closed -> context.getResponse().send());
            return;
        }
        context.onClose(outcome -> channel.attr(BUSY).set(null));
        context.next();
    }
}

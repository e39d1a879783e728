package io.persimmonreel.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.function.Supplier;
import ratpack.func.Action;
import ratpack.impose.Impositions;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/** Runs a Ratpack server with a channel handler before it, for which Ratpack has no setting. */
final class GuardedServer extends DefaultRatpackServer {
    private final Supplier<ChannelHandler> mGuardFactory;

    /**
     * Creates a server.
     *
     * @param definition defines the Ratpack server
     * @param guardFactory creates the handler between HTTP codec and Ratpack for a connection
     */
    GuardedServer(
            final Action<? super RatpackServerSpec> definition,
            final Supplier<ChannelHandler> guardFactory)
            throws Exception {
        super(definition, Impositions.current());
        mGuardFactory = guardFactory;
    }

    @Override
    protected Channel buildChannel(final ServerConfig config, final ChannelHandler handler)
            throws InterruptedException {
        return super.buildChannel(config, new GuardInitializer(handler));
    }

    /** Adds a guard and then Ratpack's handler to the pipeline of each connection. */
    @ChannelHandler.Sharable
    private final class GuardInitializer extends ChannelInitializer<Channel> {
        private final ChannelHandler mRatpackHandler;

        GuardInitializer(final ChannelHandler handler) {
            mRatpackHandler = handler;
        }

        @Override
        protected void initChannel(final Channel channel) {
            channel.pipeline()
                    .addLast("guard", mGuardFactory.get())
                    .addLast("requests", mRatpackHandler);
        }
    }
}

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stands in for the platform's store: kv-key, kv-range and kv-watch with linearizable answers. */
final class Store implements AutoCloseable {
    private record Item(String key, String data, long revision, long created) {
        String json() {
            return data == null
                    ? "{\"key\":" + Json.text(key) + ",\"revision\":" + revision + ",\"deleted\":true}"
                    : "{\"key\":" + Json.text(key) + ",\"data\":" + Json.text(data) + ",\"revision\":"
                            + revision + ",\"created\":" + created + ",\"lease_id\":0}";
        }
    }

    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private long mRevision = 100;
    private boolean mDown;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        mServer.setExecutor(mThreads);
        mServer.createContext("/kv-key", this::onKey);
        mServer.createContext("/kv-range", this::onRange);
        mServer.createContext("/kv-watch", this::onWatch);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    synchronized void put(final String key, final String value) {
        final String data =
                Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        mRevision++;
        final Item before = mItems.get(key);
        final Item item =
                new Item(key, data, mRevision, before == null ? mRevision : before.created());
        mItems.put(key, item);
        mHistory.add(item);
        notifyAll();
    }

    /** Begins or ends an outage, in which calls and waiting watches are cut without an answer. */
    synchronized void setDown(final boolean down) {
        mDown = down;
        notifyAll();
    }

    synchronized void delete(final String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mHistory.add(new Item(key, null, mRevision, 0));
            notifyAll();
        }
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private synchronized void onKey(final HttpExchange exchange) throws IOException {
        requireUp();
        final Item item = mItems.get(query(exchange).get("key"));
        if (item == null) {
            answer(exchange, 404, "{}");
            return;
        }
        final String json = item.json();
        answer(exchange, 200, json.substring(0, json.length() - 1) + ",\"at\":" + mRevision + "}");
    }

    private synchronized void onRange(final HttpExchange exchange) throws IOException {
        requireUp();
        final Map<String, String> query = query(exchange);
        final String prefix = query.getOrDefault("prefix", "");
        final String after = query.getOrDefault("after", "");
        final List<String> entries = new ArrayList<>();
        for (final Item item : mItems.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                entries.add(item.json());
            }
        }
        answer(
                exchange,
                200,
                "{\"entries\":[" + String.join(",", entries) + "],\"truncated\":false,\"at\":"
                        + mRevision + "}");
    }

    private void onWatch(final HttpExchange exchange) throws IOException {
        final Map<String, String> query = query(exchange);
        final String prefix = query.getOrDefault("prefix", "");
        final long after = Long.parseLong(query.get("after"));
        final long endNanos =
                System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        final List<String> events = new ArrayList<>();
        final long at;
        synchronized (this) {
            while (true) {
                requireUp();
                for (final Item item : mHistory) {
                    if (item.revision() > after && item.key().startsWith(prefix)) {
                        events.add(item.json());
                    }
                }
                final long left = (endNanos - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (final InterruptedException e) {
                    return;
                }
            }
            at = mRevision;
        }
        answer(exchange, 200, "{\"events\":[" + String.join(",", events) + "],\"at\":" + at + "}");
    }

    private void requireUp() throws IOException {
        if (mDown) {
            // The server closes the connection of a handler that fails.
            throw new IOException("the store is down");
        }
    }

    private static Map<String, String> query(final HttpExchange exchange) {
        final Map<String, String> values = new HashMap<>();
        final String raw = exchange.getRequestURI().getRawQuery();
        for (final String part : raw == null ? new String[0] : raw.split("&")) {
            final int equals = part.indexOf('=');
            values.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private static void answer(final HttpExchange exchange, final int status, final String json)
            throws IOException {
        final byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}

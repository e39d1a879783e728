import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Ends all processes that a script started, also if the script itself is ended. */
final class Processes {
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private Processes() {}

    static Process track(final Process process) {
        STARTED.add(process);
        return process;
    }
}

package bed;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in ms. */
public final class Log implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    public Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    public long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    public synchronized void line(String format, Object... args) {
        out.printf("%7d ", millis());
        out.println(args.length == 0 ? format : String.format(format, args));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
